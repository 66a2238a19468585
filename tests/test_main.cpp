#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

/**
 * Runs all registered tests, or those below the test path given as the first argument.
 *
 * @return 0 when every test passed, 1 otherwise, 2 when no test ran.
 */
int main(int argc, char **argv)
{
    CppUnit::TestResult events;
    CppUnit::TestResultCollector results;
    CppUnit::BriefTestProgressListener progress;
    events.addListener(&results);
    events.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    const std::string path = argc > 1 ? argv[1] : "";
    runner.run(events, path);

    CppUnit::CompilerOutputter outputter(&results, std::cerr);
    outputter.write();
    const int failed = results.testErrors() + results.testFailures();
    std::cout << results.runTests() - failed << " passed, " << failed << " failed\n";
    if (results.runTests() == 0)
        return 2;
    return failed == 0 ? 0 : 1;
}
