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
    options.document_files = {directory + "/reports.yaml", directory + "/certificates.yaml"};
    return options;
  }

  static auto Refusal(const CommandReport& report) -> std::string {
    CPPUNIT_ASSERT(report.exit_status == ExitStatus::refused);
    return std::string(report.json.at("refusal").as_object().at("reason").as_string());
  }

 public:
  // Guards against an explanation that differs from an entry's behavior: the path prefix is removed
  // before the rules of `once` are matched.
  auto testAccepted() -> void {
    auto options = Examples();
    options.path = "/certificates/issue";
    options.method = "POST";
    options.workspace = "inspectors";
    const auto report = Explain(options);
    CPPUNIT_ASSERT(report.exit_status == ExitStatus::done);
    CPPUNIT_ASSERT(report.json.at("service") == "certificates");
    CPPUNIT_ASSERT(report.json.at("scheme") == "path");
    CPPUNIT_ASSERT(report.json.at("path") == "/issue");
    CPPUNIT_ASSERT(report.json.at("class") == "once");
    options.vm_list_file = std::string(FILBERTSTAIR_EXAMPLES) + "/vms.json";
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Explain(options).json.at("endpoints").as_array().size());
    CPPUNIT_ASSERT_EQUAL(0.5, report.json.at("workspace").as_object().at("share").as_double());
  }

  auto testRefusals() -> void {
    auto options = Examples();
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_service"), Refusal(Explain(options)));
    options.host = "reports.example";
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_workspace"), Refusal(Explain(options)));
    options.path = "/certificates";
    CPPUNIT_ASSERT_EQUAL(std::string("conflicting_names"), Refusal(Explain(options)));
    options.document_files = {"missing.yaml"};
    CPPUNIT_ASSERT(Explain(options).json.contains("error"));
  }

  // Guards against counting endpoints that are leaving, or that belong to other pools, as
  // available.
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
    options.document_files = {files.Write("a.yaml", MakeTestDocument("a", 1, "a.example"))};
    options.host = "a.example";
    options.workspace = "w";
    options.vm_list_file = list("live");
    const auto report = Explain(options);
    CPPUNIT_ASSERT(report.exit_status == ExitStatus::done);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.json.at("endpoints").as_array().size());
    options.vm_list_file = list("leaving");
    CPPUNIT_ASSERT_EQUAL(std::string("no_endpoint"), Refusal(Explain(options)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExplainTest);

}  // namespace
}  // namespace filbertstair::cli
