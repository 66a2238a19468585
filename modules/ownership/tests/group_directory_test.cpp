#include "modules/ownership/group_directory.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

class GroupDirectoryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GroupDirectoryTest);
    CPPUNIT_TEST(modelsWithTheSameUpstreamsShareAGroup);
    CPPUNIT_TEST(modelsWithOtherUpstreamsStayApart);
    CPPUNIT_TEST(drainedUpstreamsOfferNoGroup);
    CPPUNIT_TEST_SUITE_END();

    static Upstream makeUpstream(const std::string &id, const std::string &domain,
                                 std::vector<std::string> models)
    {
        Upstream upstream;
        upstream.id = UpstreamId(id);
        upstream.domain = FailureDomain(domain);
        for (const auto &it : models)
            upstream.models.emplace_back(it);
        return upstream;
    }

    static GroupId group(const std::string &model, const std::string &domain)
    {
        return {ModelName(model), FailureDomain(domain)};
    }

public:
    // Guards against two owners of the same slots, where a lower tier of one route fills them and
    // tier 0 of another route waits inside the upstream.
    void modelsWithTheSameUpstreamsShareAGroup()
    {
        SharedConfig config;
        config.upstreams = {makeUpstream("a1", "d1", {"app:x", "app:b"}),
                            makeUpstream("a2", "d2", {"app:b", "app:x"})};
        GroupDirectory directory;
        directory.setConfig(config, {});
        for (const auto *model : {"app:x", "app:b"}) {
            const auto &groups = directory.groupsOf(ModelName(model));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, groups.size());
            CPPUNIT_ASSERT_EQUAL(group("app:b", "d1"), groups[0]);
            CPPUNIT_ASSERT_EQUAL(group("app:b", "d2"), groups[1]);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.upstreamsOf(group("app:b", "d1")).size());
    }

    // Guards against a request that is sent to an upstream without its model.
    void modelsWithOtherUpstreamsStayApart()
    {
        SharedConfig config;
        config.upstreams = {makeUpstream("e1", "d1", {"m", "n"}), makeUpstream("e2", "d1", {"m"})};
        GroupDirectory directory;
        directory.setConfig(config, {});
        CPPUNIT_ASSERT_EQUAL(group("n", "d1"), directory.groupsOf(ModelName("n")).at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory.upstreamsOf(group("n", "d1")).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, directory.upstreamsOf(group("m", "d1")).size());
    }

    // Guards against new requests to an upstream that is drained by the configuration or on the
    // list of leaving upstreams (invariant I6).
    void drainedUpstreamsOfferNoGroup()
    {
        SharedConfig config;
        config.upstreams = {makeUpstream("e1", "d1", {"m"}), makeUpstream("e2", "d2", {"m"})};
        config.upstreams[0].state = UpstreamState::Draining;
        GroupDirectory directory;
        directory.setConfig(config, {UpstreamId("e2")});
        CPPUNIT_ASSERT(directory.groupsOf(ModelName("m")).empty());
        CPPUNIT_ASSERT(directory.hasModel(ModelName("m")));
        CPPUNIT_ASSERT(!directory.hasModel(ModelName("other")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupDirectoryTest);

} // namespace hawthornslip
