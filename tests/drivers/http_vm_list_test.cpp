#include "drivers/http/curl_upstream_client.h"
#include "drivers/vm_list/http_vm_list.h"
#include "tests/standins/platform_standin.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace hawthornslip {

class HttpVmListTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpVmListTest);
    CPPUNIT_TEST(readsPlatformList);
    CPPUNIT_TEST(noAnswerIsNoList);
    CPPUNIT_TEST(skipsEntriesThatAreNotUnderstood);
    CPPUNIT_TEST(refusesWhatIsNoList);
    CPPUNIT_TEST_SUITE_END();

public:
    void readsPlatformList()
    {
        standin::PlatformStandin platform;
        CPPUNIT_ASSERT(platform.start());
        const std::vector<VmEntry> vms = {
                {NodeId("10.0.0.1:7400"), FailureDomain("semarang"), false},
                {NodeId("10.0.0.2:7400"), FailureDomain("magelang"), true}};
        platform.setVms(vms);
        const auto entries = fetch(platform.url());
        CPPUNIT_ASSERT(entries && *entries == vms);
    }

    // Guards against an outage of the platform that looks like an empty deployment.
    void noAnswerIsNoList()
    {
        standin::PlatformStandin platform;
        CPPUNIT_ASSERT(platform.start());
        standin::PlatformFaults faults;
        faults.listDown = true;
        platform.setFaults(faults);
        CPPUNIT_ASSERT(!fetch(platform.url()));
        CPPUNIT_ASSERT(!fetch("http://127.0.0.1:1"));
    }

    void skipsEntriesThatAreNotUnderstood()
    {
        const auto entries = HttpVmList::parse(
                R"({"vms":[{"node":"a:1"},{"node":5},7,{"leaving":true},{"node":"b:1","leaving":1}]})");
        CPPUNIT_ASSERT(entries && entries->size() == 2);
        CPPUNIT_ASSERT(!entries->at(1).leaving);
    }

    void refusesWhatIsNoList()
    {
        for (const auto *body : {"", "{}", "[]", "{\"vms\":{}}", "{\"vms\":[", "\xff"})
            CPPUNIT_ASSERT(!HttpVmList::parse(body));
    }

private:
    static std::optional<std::vector<VmEntry>> fetch(const std::string &url)
    {
        CurlUpstreamClient client;
        HttpVmList list(client, url, seconds(5));
        std::promise<std::optional<std::vector<VmEntry>>> answer;
        list.fetch([&](const auto &it) { answer.set_value(it); });
        return answer.get_future().get();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpVmListTest);

} // namespace hawthornslip
