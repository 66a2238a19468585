#include "servers/membership/upstream_vm_filter.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

class FixedVmList : public VmList
{
public:
    void fetch(Callback done) override { done(entries); }

    std::optional<std::vector<VmEntry>> entries;
};

class FixedConfigSource : public ConfigSource
{
public:
    std::shared_ptr<const SharedConfig> current() const override { return config; }

    std::shared_ptr<SharedConfig> config = std::make_shared<SharedConfig>();
};

} // namespace

class UpstreamVmFilterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamVmFilterTest);
    CPPUNIT_TEST(separatesNodesFromUpstreams);
    CPPUNIT_TEST(keepsLeavingUpstreamsWithoutAnswer);
    CPPUNIT_TEST(parsesAuthorities);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against engines that are probed as nodes, and against a leaving engine that is still
    // given work because it is not reported.
    void separatesNodesFromUpstreams()
    {
        Upstream upstream;
        upstream.id = UpstreamId("engine-1");
        upstream.url = "http://10.0.0.1:8000/base";
        m_config.config->upstreams = {upstream};
        m_list.entries = {{NodeId("10.0.0.9:7000"), FailureDomain("a"), false},
                          {NodeId("10.0.0.1:8000"), FailureDomain("a"), true}};
        const auto nodes = fetch();
        CPPUNIT_ASSERT(nodes.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, nodes->size());
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.9:7000"), nodes->front().node.value);
        CPPUNIT_ASSERT(m_leaving == std::vector<UpstreamId>{UpstreamId("engine-1")});
        m_list.entries->back().leaving = false;
        fetch();
        CPPUNIT_ASSERT(m_leaving->empty());
    }

    // Guards against a leaving engine that is given work again because the VM list does not answer.
    void keepsLeavingUpstreamsWithoutAnswer()
    {
        m_list.entries.reset();
        CPPUNIT_ASSERT(!fetch().has_value());
        CPPUNIT_ASSERT(!m_leaving.has_value());
    }

    // Guards against a URL that never matches its VM because of its path or default port.
    void parsesAuthorities()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:8000"), authorityOf("http://10.0.0.1:8000"));
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:443"), authorityOf("https://10.0.0.1/x"));
        CPPUNIT_ASSERT_EQUAL(std::string(), authorityOf("10.0.0.1"));
    }

private:
    std::optional<std::vector<VmEntry>> fetch()
    {
        UpstreamVmFilter filter(m_list, m_config, [this](auto ids) { m_leaving = std::move(ids); });
        std::optional<std::vector<VmEntry>> result;
        filter.fetch([&](const auto &entries) { result = entries; });
        return result;
    }

    FixedVmList m_list;
    FixedConfigSource m_config;
    std::optional<std::vector<UpstreamId>> m_leaving;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamVmFilterTest);

} // namespace hawthornslip
