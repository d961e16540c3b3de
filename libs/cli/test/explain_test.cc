#include "filbertstair/cli/explain.h"

#include <cppunit/extensions/HelperMacros.h>

#include "files.h"

namespace filbertstair::cli {
namespace {

class ExplainTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ExplainTest);
  CPPUNIT_TEST(testAccepted);
  CPPUNIT_TEST(testRefusals);
  CPPUNIT_TEST(testEndpoints);
  CPPUNIT_TEST_SUITE_END();

  static auto Examples() -> ExplainOptions {
    const std::string directory = FILBERTSTAIR_EXAMPLES;
    ExplainOptions options;
    options.documents = {directory + "/reports.yaml", directory + "/certificates.yaml"};
    return options;
  }

  static auto Refusal(const Answer& answer) -> std::string {
    CPPUNIT_ASSERT(answer.exit == Exit::refused);
    return std::string(answer.json.at("refusal").as_object().at("reason").as_string());
  }

 public:
  // Guards against an explanation that differs from what an entry does: the prefix is removed
  // before the rules of `once` apply.
  auto testAccepted() -> void {
    auto options = Examples();
    options.path = "/certificates/issue";
    options.method = "POST";
    options.workspace = "inspectors";
    const auto answer = Explain(options);
    CPPUNIT_ASSERT(answer.exit == Exit::done);
    CPPUNIT_ASSERT(answer.json.at("service") == "certificates");
    CPPUNIT_ASSERT(answer.json.at("scheme") == "path");
    CPPUNIT_ASSERT(answer.json.at("path") == "/issue");
    CPPUNIT_ASSERT(answer.json.at("class") == "once");
    options.vms = std::string(FILBERTSTAIR_EXAMPLES) + "/vms.json";
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Explain(options).json.at("endpoints").as_array().size());
    CPPUNIT_ASSERT_EQUAL(0.5, answer.json.at("workspace").as_object().at("share").as_double());
  }

  auto testRefusals() -> void {
    auto options = Examples();
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_service"), Refusal(Explain(options)));
    options.host = "reports.example";
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_workspace"), Refusal(Explain(options)));
    options.path = "/certificates";
    CPPUNIT_ASSERT_EQUAL(std::string("conflicting_names"), Refusal(Explain(options)));
    options.documents = {"missing.yaml"};
    CPPUNIT_ASSERT(Explain(options).json.contains("error"));
  }

  // Guards against leaving endpoints and those of other pools that are listed as reachable.
  auto testEndpoints() -> void {
    const TestFiles files;
    const auto list = [&](const std::string& state) {
      return files.Write("vms-" + state + ".json",
                         R"({"revision":1,"vms":[{"id":"a","role":"endpoint","address":)"
                         R"("127.0.0.1:1","region":"n","failure_domain":"f","pool":"p","state":")" +
                             state +
                             R"("},{"id":"b","role":"endpoint","address":"127.0.0.1:2",)"
                             R"("region":"n","failure_domain":"f","pool":"q","state":"live"}]})");
    };
    ExplainOptions options;
    options.documents = {files.Write("a.yaml", TestDocument("a", 1, "a.example"))};
    options.host = "a.example";
    options.workspace = "w";
    options.vms = list("live");
    const auto answer = Explain(options);
    CPPUNIT_ASSERT(answer.exit == Exit::done);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.json.at("endpoints").as_array().size());
    options.vms = list("leaving");
    CPPUNIT_ASSERT_EQUAL(std::string("no_endpoint"), Refusal(Explain(options)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);

}  // namespace
}  // namespace filbertstair::cli
