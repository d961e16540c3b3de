#include "filbertstair/document/parse.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>

#include "filbertstair/schema/value.h"

namespace filbertstair::document {
namespace {

constexpr auto kMinimal =
    "name: reports\nversion: 1\nhosts: [Reports.Example]\npools: [{name: a}]\n"
    "workspaces: [{id: w}]\n";

auto Example(const std::string& name) -> std::string {
  return schema::ReadFile(std::string(FILBERTSTAIR_EXAMPLES) + "/" + name, kMaxDocumentBytes,
                          core::Step::read);
}

class ParseTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ParseTest);
  CPPUNIT_TEST(testDefaults);
  CPPUNIT_TEST(testExamples);
  CPPUNIT_TEST(testAllProblemsAtOnce);
  CPPUNIT_TEST(testEachRule);
  CPPUNIT_TEST(testTooLarge);
  CPPUNIT_TEST(testArbitraryBytes);
  CPPUNIT_TEST(testDamagedDocument);
  CPPUNIT_TEST_SUITE_END();

  // Returns whether parsing `text` gives either a service or problems, but not both.
  static auto IsConsistent(const std::string& text) -> bool {
    const auto result = ParseDocument(text, "a");
    return result.service.has_value() == result.problems.empty();
  }

 public:
  auto setUp() -> void override {
    // rapidcheck reads its seed from the environment; a fixed seed makes failures reproducible.
    setenv("RC_PARAMS", "seed=20240501 max_success=2000", 0);
  }

  // Guards against a default that differs from docs/document.md.
  auto testDefaults() -> void {
    const auto result = ParseDocument(kMinimal, "a");
    CPPUNIT_ASSERT(result.service);
    const auto& service = *result.service;
    CPPUNIT_ASSERT_EQUAL(std::string("reports.example"), service.hosts.at(0));
    CPPUNIT_ASSERT_EQUAL(1.0, service.workspaces.at(0).weight);
    CPPUNIT_ASSERT_EQUAL(100u, service.workspaces.at(0).max_waiting);
    CPPUNIT_ASSERT_EQUAL(1u, service.pools.at(0).min_slots);
    CPPUNIT_ASSERT_EQUAL(16u, service.pools.at(0).max_slots);
    CPPUNIT_ASSERT(service.timeouts.request == std::chrono::minutes(10));
    CPPUNIT_ASSERT(service.timeouts.queue == std::chrono::seconds(60));
    CPPUNIT_ASSERT(service.timeouts.idle == std::chrono::seconds(60));
    CPPUNIT_ASSERT_EQUAL(0.1, service.retries.budget);
    CPPUNIT_ASSERT_EQUAL(3u, service.retries.max_attempts);
    CPPUNIT_ASSERT(service.idempotency.protect == std::chrono::minutes(10));
    CPPUNIT_ASSERT(service.idempotency.quiet == std::chrono::seconds(10));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{8388608}, service.max_body_bytes);
    CPPUNIT_ASSERT(service.link_price == std::chrono::seconds(1));
    CPPUNIT_ASSERT(service.max_lead == std::chrono::seconds(60));
  }

  // Guards against invalid examples, which operators copy, and against a field that is parsed into
  // the wrong member.
  auto testExamples() -> void {
    const auto reports = ParseDocument(Example("reports.yaml"), "reports.yaml");
    CPPUNIT_ASSERT(reports.service);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reports.service->pools.size());
    CPPUNIT_ASSERT_EQUAL(4.0, reports.service->workspaces[0].weight);
    CPPUNIT_ASSERT(reports.service->timeouts.idle == std::chrono::seconds(30));
    CPPUNIT_ASSERT(reports.service->link_price == std::chrono::milliseconds(500));
    const auto certificates = ParseDocument(Example("certificates.yaml"), "certificates.yaml");
    CPPUNIT_ASSERT(certificates.service);
    CPPUNIT_ASSERT_EQUAL(std::string("POST"), certificates.service->once.at(0).method);
    CPPUNIT_ASSERT_EQUAL(std::string("/issue"), certificates.service->once.at(0).path);
    CPPUNIT_ASSERT_EQUAL(2u, certificates.service->retries.max_attempts);
  }

  // Guards against a parser that stops at the first problem, so that an operator has to correct a
  // document one problem at a time.
  auto testAllProblemsAtOnce() -> void {
    const auto result = ParseDocument(
        "name: Reports\nversion: 0\npaths: [reports]\npools: []\nworkspaces:\n  - id: a\n"
        "    weight: heavy\n  - id: a\ncolour: red\n",
        "r.yaml");
    CPPUNIT_ASSERT(!result.service);
    std::vector<std::pair<int, std::string>> places;
    for (const auto& problem : result.problems) {
      CPPUNIT_ASSERT_EQUAL(std::string("r.yaml"), problem.file);
      CPPUNIT_ASSERT(!problem.found.empty() && !problem.allowed.empty());
      places.emplace_back(problem.line, problem.field);
    }
    const std::vector<std::pair<int, std::string>> expected{
        {1, "name"},
        {2, "version"},
        {3, "paths[0]"},
        {4, "pools"},
        {9, ""},
        {7, "workspaces[0].weight"},
        {8, "workspaces[1].id"},
    };
    std::sort(places.begin(), places.end());
    auto sorted = expected;
    std::sort(sorted.begin(), sorted.end());
    CPPUNIT_ASSERT(sorted == places);
  }

  // Guards against the loss of any single validation rule. Each text is appended to a valid
  // document or replaces one of its fields, and must give exactly one problem, for that field.
  auto testEachRule() -> void {
    const std::vector<std::pair<std::string, std::string>> cases{
        {"max_body_bytes: 0", "max_body_bytes"},
        {"max_body_bytes: 1073741825", "max_body_bytes"},
        {"link_price: 2m", ""},
        {"max_lead: 999ms", "max_lead"},
        {"idempotency: {protect: 1s}", ""},
        {"timeouts: {queue: 0s}", "timeouts.queue"},
        {"timeouts: {idle: 25h}", "timeouts.idle"},
        {"timeouts: [30s]", "timeouts"},
        {"retries: {budget: 1.1}", "retries.budget"},
        {"retries: {max_attempts: 0}", "retries.max_attempts"},
        {"once: [{method: post}]", "once[0].method"},
        {"once: [{path: issue}]", "once[0].path"},
        {"once: [{path: /a}, {method: '*', path: /a}]", "once[1]"},
        {"once: [{path: /a/../b}]", "once[0].path"},
        {"paths: [/a, /a]", "paths[1]"},
        {"paths: [/a/]", "paths[0]"},
        {"paths: [/a//b]", "paths[0]"},
        {"paths: ['/a%62']", "paths[0]"},
        {"logical_names: ['a b']", "logical_names[0]"},
        {"logical_names: a", "logical_names"},
        {"models: [a, a]", "models[1]"},
    };
    for (const auto& [text, field] : cases) {
      const auto result = ParseDocument(std::string(kMinimal) + text, "a");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{1}, result.problems.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, field, result.problems[0].field);
    }
    const std::vector<std::pair<std::string, std::string>> replaced{
        {"hosts: ['a:80']", "hosts[0]"},
        {"hosts: [a.example, A.Example]", "hosts[1]"},
        {"hosts: [-a.example]", "hosts[0]"},
        {"hosts: []", ""},
        {"version: 9223372036854775808", "version"},
        {"version: '1'", "version"},
        {"workspaces: []", "workspaces"},
        {"workspaces: [{id: a, weight: 0}]", "workspaces[0].weight"},
        {"workspaces: [{id: a, max_waiting: 0}]", "workspaces[0].max_waiting"},
        {"workspaces: [{weight: 1}]", "workspaces[0].id"},
        {"pools: [{name: a}, {name: a}]", "pools[1].name"},
        {"pools: [{name: a, min_slots: 17}]", "pools[0]"},
        {"pools: [{name: a, max_slots: 4097}]", "pools[0].max_slots"},
    };
    for (const auto& [text, field] : replaced) {
      std::string document;
      std::istringstream lines(kMinimal);
      for (std::string line; std::getline(lines, line);) {
        const auto name = text.substr(0, text.find(':') + 1);
        document += (line.starts_with(name) ? text : line) + "\n";
      }
      const auto result = ParseDocument(document, "a");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{1}, result.problems.size());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, field, result.problems[0].field);
    }
  }

  auto testTooLarge() -> void {
    auto text = std::string(kMinimal) + "#";
    text.resize(kMaxDocumentBytes, 'x');
    CPPUNIT_ASSERT(ParseDocument(text, "a").service);
    text += 'x';
    const auto result = ParseDocument(text, "a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, result.problems.size());
    CPPUNIT_ASSERT_EQUAL(std::string("at most 1000000 bytes"), result.problems[0].allowed);
  }

  // Guards against a malformed document that makes a daemon throw or crash.
  auto testArbitraryBytes() -> void {
    CPPUNIT_ASSERT(rc::check("Parse never throws on arbitrary bytes",
                             [](const std::string& text) { RC_ASSERT(IsConsistent(text)); }));
  }

  // Like testArbitraryBytes, with damaged valid documents, which get further into the parser.
  auto testDamagedDocument() -> void {
    const auto example = Example("certificates.yaml");
    CPPUNIT_ASSERT(rc::check("Parse never throws on a damaged document", [&example] {
      auto text = example;
      const auto edits = *rc::gen::inRange(1, 8);
      for (int i = 0; i < edits; ++i) {
        const auto begin = *rc::gen::inRange<std::size_t>(0, text.size());
        const auto size = *rc::gen::inRange<std::size_t>(0, 4);
        const auto inserted = *rc::gen::container<std::string>(
            rc::gen::element('[', ']', '{', '}', ':', '-', '\n', ' ', '"', '\'', '&', '*', '!', '#',
                             '|', '>', '%', '?', ',', '~', '\t', '9', '\x80'));
        text.replace(begin, size, inserted);
      }
      RC_ASSERT(IsConsistent(text));
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ParseTest);

}  // namespace
}  // namespace filbertstair::document
