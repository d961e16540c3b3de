#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <memory>
#include <string>

namespace {

// Returns the test case with the name, given without its suite, or nullptr.
auto FindTest(CppUnit::Test& test, const std::string& name) -> CppUnit::Test* {
  if (test.getName().ends_with("::" + name)) return &test;
  for (int i = 0; i < test.getChildTestCount(); ++i) {
    if (auto* found = FindTest(*test.getChildTestAt(i), name)) return found;
  }
  return nullptr;
}

}  // namespace

// Runs all test cases, or the one that the argument names.
auto main(int argc, char** argv) -> int {
  constexpr int exit_usage = 2;
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);
  const std::unique_ptr<CppUnit::Test> all(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  auto* selected = argc > 1 ? FindTest(*all, argv[1]) : all.get();
  if (selected == nullptr) {
    std::cerr << "no test case " << argv[1] << '\n';
    return exit_usage;
  }
  controller.runTest(selected);
  CppUnit::CompilerOutputter outputter(&collector, std::cerr);
  outputter.write();
  return collector.wasSuccessful() ? 0 : 1;
}
