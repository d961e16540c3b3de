#include "filbertstair/document/names.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace filbertstair::document {
namespace {

auto Index() -> NameIndex {
  return BuildIndex({{.name = "reports",
                      .hosts = {"reports.example"},
                      .paths = {"/reports", "/office/reports"},
                      .logical_names = {"reports-8b"}},
                     {.name = "office",
                      .hosts = {"office.example"},
                      .paths = {"/office"},
                      .logical_names = {"office"}}})
      .index;
}

class NamesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(NamesTest);
  CPPUNIT_TEST(testEachScheme);
  CPPUNIT_TEST(testHostSpelling);
  CPPUNIT_TEST(testPathSegments);
  CPPUNIT_TEST(testRootPrefix);
  CPPUNIT_TEST(testAgreement);
  CPPUNIT_TEST(testConflictingNames);
  CPPUNIT_TEST(testModelOnlyAsLastResort);
  CPPUNIT_TEST(testUnknownHeader);
  CPPUNIT_TEST(testFailureListsNames);
  CPPUNIT_TEST(testIndexConflicts);
  CPPUNIT_TEST_SUITE_END();

  static auto CheckFound(const NameQuery& query, const std::string& service, core::Scheme scheme,
                         const std::string& path) -> void {
    const auto result = LookupService(Index(), query);
    CPPUNIT_ASSERT(!result.failure);
    CPPUNIT_ASSERT_EQUAL(service, result.service);
    CPPUNIT_ASSERT(scheme == result.scheme);
    CPPUNIT_ASSERT_EQUAL(path, result.path);
  }

  static auto Failure(const NameQuery& query) -> std::optional<core::Reason> {
    return LookupService(Index(), query).failure;
  }

 public:
  auto testEachScheme() -> void {
    CheckFound({.host = "reports.example", .path = "/v1/x"}, "reports", core::Scheme::host,
               "/v1/x");
    CheckFound({.host = "entry", .path = "/reports/v1"}, "reports", core::Scheme::path, "/v1");
    CheckFound({.path = "/v1", .logical = "reports-8b"}, "reports", core::Scheme::logical, "/v1");
    CheckFound({.path = "/v1", .model = "reports-8b"}, "reports", core::Scheme::logical, "/v1");
  }

  // Guards against refusing a host that differs only in case, port or a final dot.
  auto testHostSpelling() -> void {
    for (const auto* host : {"reports.example", "Reports.EXAMPLE:8080", "reports.example."}) {
      CheckFound({.host = host, .path = "/"}, "reports", core::Scheme::host, "/");
    }
    for (const auto* host : {"reports.example.org", "[::1]:80", ":80", "["}) {
      CPPUNIT_ASSERT(Failure({.host = host, .path = "/"}) == core::Reason::unknown_service);
    }
  }

  // Guards against a prefix match inside a segment, and against selecting the shorter of two
  // matching prefixes.
  auto testPathSegments() -> void {
    CheckFound({.path = "/office/reports/x"}, "reports", core::Scheme::path, "/x");
    CheckFound({.path = "/office/reportsx"}, "office", core::Scheme::path, "/reportsx");
    CheckFound({.path = "/office"}, "office", core::Scheme::path, "/");
    CheckFound({.path = "/office/"}, "office", core::Scheme::path, "/");
    CheckFound({.path = "/office?a=/b"}, "office", core::Scheme::path, "/?a=/b");
    CheckFound({.path = "/office/x?q#f"}, "office", core::Scheme::path, "/x?q#f");
    for (const auto* path : {"/officex", "office", "/x/office", "*", ""}) {
      CPPUNIT_ASSERT(Failure({.path = path}) == core::Reason::unknown_service);
    }
  }

  auto testRootPrefix() -> void {
    const auto index =
        BuildIndex({{.name = "all", .paths = {"/"}}, {.name = "a", .paths = {"/a"}}}).index;
    CPPUNIT_ASSERT_EQUAL(std::string("all"), LookupService(index, {.path = "/b/c"}).service);
    CPPUNIT_ASSERT_EQUAL(std::string("/b/c"), LookupService(index, {.path = "/b/c"}).path);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), LookupService(index, {.path = "/a/c"}).service);
  }

  // Guards against a path prefix that is removed or kept depending on which other names the request
  // carries.
  auto testAgreement() -> void {
    CheckFound({.host = "reports.example", .path = "/reports/x", .logical = "reports-8b"},
               "reports", core::Scheme::logical, "/x");
    CheckFound({.host = "reports.example", .path = "/reports/x"}, "reports", core::Scheme::host,
               "/x");
  }

  auto testConflictingNames() -> void {
    CPPUNIT_ASSERT(Failure({.host = "reports.example", .path = "/office/x"}) ==
                   core::Reason::conflicting_names);
    CPPUNIT_ASSERT(Failure({.host = "reports.example", .path = "/", .logical = "office"}) ==
                   core::Reason::conflicting_names);
    CPPUNIT_ASSERT(Failure({.path = "/reports", .logical = "office"}) ==
                   core::Reason::conflicting_names);
  }

  // Guards against refusing a request because its body names a model of another service.
  auto testModelOnlyAsLastResort() -> void {
    CheckFound({.host = "office.example", .path = "/v1", .model = "reports-8b"}, "office",
               core::Scheme::host, "/v1");
  }

  // Guards against routing a request to a service other than the one that its header names.
  auto testUnknownHeader() -> void {
    CPPUNIT_ASSERT(Failure({.host = "reports.example", .path = "/", .logical = "letters"}) ==
                   core::Reason::unknown_service);
    CPPUNIT_ASSERT(Failure({.path = "/", .logical = "letters", .model = "reports-8b"}) ==
                   core::Reason::unknown_service);
  }

  auto testFailureListsNames() -> void {
    const auto result = LookupService(
        Index(), {.host = "Reports.example:1", .path = "/office/x?y", .logical = "letters"});
    CPPUNIT_ASSERT_EQUAL(std::string("logical \"letters\": no service, host \"reports.example\": "
                                     "reports, path \"/office/x\": office"),
                         Describe(result));
    CPPUNIT_ASSERT_EQUAL(std::string("no names given"), Describe(LookupService(Index(), {})));
  }

  // Guards against two processes that resolve a conflicting name to different services.
  auto testIndexConflicts() -> void {
    std::vector<Service> services{
        {.name = "b", .hosts = {"x.example"}, .paths = {"/x"}, .logical_names = {"x"}},
        {.name = "a", .hosts = {"x.example"}, .paths = {"/x"}, .logical_names = {"x"}},
        // The same name under another scheme is not a conflict.
        {.name = "c", .logical_names = {"/x"}}};
    const std::vector<NameConflict> expected{{core::Scheme::host, "x.example", "a", "b"},
                                             {core::Scheme::path, "/x", "a", "b"},
                                             {core::Scheme::logical, "x", "a", "b"}};
    for (int i = 0; i < 2; ++i) {
      const auto result = BuildIndex(services);
      CPPUNIT_ASSERT(expected == result.conflicts);
      CPPUNIT_ASSERT_EQUAL(std::string("a"),
                           LookupService(result.index, {.host = "x.example"}).service);
      std::reverse(services.begin(), services.end());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NamesTest);

}  // namespace
}  // namespace filbertstair::document
