#include "tests/soak/profile.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>

namespace filbertstair::soak {
namespace {

const std::string kSound = R"(zones: [{ name: a, region: r }]
workspaces: 2
entries: [{ zone: a, count: 1, cores: 0.5 }]
replicas: [{ service: app, zone: a, count: 1, slots: 4, queue: 2 }]
classes:
  - { name: c, kind: again, rate: 5, deadline: 1s, timeout: 1s, objective: 100ms, attempts: 2, work: 5ms }
patience: { attempts: 2, at_once: 0, kept: 1 }
)";

auto With(const std::string& from, const std::string& to) -> std::string {
  auto out = kSound;
  out.replace(out.find(from), from.size(), to);
  return out;
}

class ProfileTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ProfileTest);
  CPPUNIT_TEST(testProfilesOfTheRepositoryAreSound);
  CPPUNIT_TEST(testAllProblemsAreReported);
  CPPUNIT_TEST(testReferencesAreChecked);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against profiles that shrink below the size of the small deployments.
  auto testProfilesOfTheRepositoryAreSound() -> void {
    for (const auto& file :
         std::filesystem::directory_iterator(FILBERTSTAIR_SOURCE_DIR "/tests/soak/profiles")) {
      const auto profile = ReadProfile(file.path().string());
      std::uint32_t entries = 0;
      for (const auto& group : profile.entries) entries += group.count;
      std::uint32_t replicas = 0;
      for (const auto& group : profile.replicas) replicas += group.count;
      double rate = 0;
      for (const auto& request : profile.classes) rate += request.rate;
      CPPUNIT_ASSERT(entries >= 4);
      CPPUNIT_ASSERT_EQUAL(15u, replicas);
      CPPUNIT_ASSERT_EQUAL(std::size_t{5}, profile.classes.size());
      CPPUNIT_ASSERT_DOUBLES_EQUAL(220, rate, 1);
    }
  }

  // Guards against a misspelt or missing field that leaves a default in force.
  auto testAllProblemsAreReported() -> void {
    CPPUNIT_ASSERT(ParseProfile(kSound, "p").problems.empty());
    auto text = With("workspaces: 2", "workspace: 2");
    text.replace(text.find("rate: 5"), 7, "rate: 0");
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, ParseProfile(text, "p").problems.size());
  }

  // Guards against a class without replicas, and processes in a zone that does not exist.
  auto testReferencesAreChecked() -> void {
    for (const auto& text :
         {With("entries: [{ zone: a", "entries: [{ zone: b"), With("app, zone: a", "app, zone: b"),
          With("kind: again", "kind: stream"), With("kind: again", "kind: slow_upload")}) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ParseProfile(text, "p").problems.size());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProfileTest);

}  // namespace
}  // namespace filbertstair::soak
