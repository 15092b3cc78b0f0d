#ifndef JUJUBEFRONT_BASE_TESTS_RUN_TESTS_H_
#define JUJUBEFRONT_BASE_TESTS_RUN_TESTS_H_

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

namespace jujubefront {

// Runs all registered suites, or only the named test. Returns the exit code: 0
// when at least one test ran and all passed.
inline int RunTests(const std::string& name) {
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector collector;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&collector);
  controller.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(controller, name);
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}

}  // namespace jujubefront

#endif  // JUJUBEFRONT_BASE_TESTS_RUN_TESTS_H_
