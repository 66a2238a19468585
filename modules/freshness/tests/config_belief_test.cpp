#include "modules/freshness/config_belief.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr TimePoint kStart{seconds(100)};

RoutingConfig makeConfig(std::uint64_t version)
{
    RoutingConfig config;
    config.version = version;
    return config;
}

} // namespace

class ConfigBeliefTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigBeliefTest);
    CPPUNIT_TEST(neverGoesBack);
    CPPUNIT_TEST(distrustsKeysWithoutNews);
    CPPUNIT_TEST(trustsKeysForeverWhenOpen);
    CPPUNIT_TEST(ignoresOlderConfirmation);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a late answer of the store that brings an older version back.
    void neverGoesBack()
    {
        ConfigBelief belief(KeyTrust{});
        CPPUNIT_ASSERT(belief.adopt(makeConfig(7), kStart));
        CPPUNIT_ASSERT(!belief.adopt(makeConfig(5), kStart));
        CPPUNIT_ASSERT(!belief.adopt(makeConfig(7), kStart));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, belief.table()->config().version);
        CPPUNIT_ASSERT(belief.adopt(makeConfig(12), kStart));
    }

    // Guards against a revoked key that is served because the node has lost the store.
    void distrustsKeysWithoutNews()
    {
        ConfigBelief belief(KeyTrust{true, seconds(5)});
        CPPUNIT_ASSERT(!belief.mayTrustKeys(kStart));
        belief.adopt(makeConfig(1), kStart);
        CPPUNIT_ASSERT(!belief.mayTrustKeys(kStart));
        belief.confirm(kStart);
        CPPUNIT_ASSERT(belief.mayTrustKeys(kStart + milliseconds(3700)));
        CPPUNIT_ASSERT(!belief.mayTrustKeys(kStart + milliseconds(3900)));
        CPPUNIT_ASSERT(!belief.mayTrustKeys(kStart + seconds(5)));
        belief.confirm(kStart + seconds(6));
        CPPUNIT_ASSERT(belief.mayTrustKeys(kStart + seconds(7)));
    }

    void trustsKeysForeverWhenOpen()
    {
        ConfigBelief belief(KeyTrust{false, seconds(5)});
        belief.adopt(makeConfig(1), kStart);
        CPPUNIT_ASSERT(belief.mayTrustKeys(kStart + seconds(500)));
    }

    // Guards against a late answer that makes the belief look older than it is known to be.
    void ignoresOlderConfirmation()
    {
        ConfigBelief belief(KeyTrust{true, seconds(5)});
        belief.confirm(kStart + seconds(2));
        belief.confirm(kStart);
        CPPUNIT_ASSERT(*belief.age(kStart + seconds(3)) == seconds(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigBeliefTest);

} // namespace hawthornslip
