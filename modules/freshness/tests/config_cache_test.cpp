#include "modules/freshness/config_cache.h"

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

class ConfigCacheTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigCacheTest);
    CPPUNIT_TEST(rejectsOlderVersion);
    CPPUNIT_TEST(distrustsKeysWithoutConfirmation);
    CPPUNIT_TEST(trustsKeysIndefinitelyWhenFailOpen);
    CPPUNIT_TEST(ignoresOlderConfirmation);
    CPPUNIT_TEST(olderVersionInTheStoreConfirmsNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a delayed response of the store that rolls back to an older version.
    void rejectsOlderVersion()
    {
        ConfigCache cache(KeyTrustPolicy{});
        CPPUNIT_ASSERT(cache.adopt(makeConfig(7), kStart));
        CPPUNIT_ASSERT(!cache.adopt(makeConfig(5), kStart));
        CPPUNIT_ASSERT(!cache.adopt(makeConfig(7), kStart));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, cache.table()->config().version);
        CPPUNIT_ASSERT(cache.adopt(makeConfig(12), kStart));
    }

    // Guards against accepting a revoked key while the node cannot reach the store.
    void distrustsKeysWithoutConfirmation()
    {
        ConfigCache cache(KeyTrustPolicy{true, seconds(5)});
        CPPUNIT_ASSERT(!cache.mayTrustKeys(kStart));
        cache.adopt(makeConfig(1), kStart);
        CPPUNIT_ASSERT(!cache.mayTrustKeys(kStart));
        cache.confirm(kStart);
        CPPUNIT_ASSERT(cache.mayTrustKeys(kStart + milliseconds(3700)));
        CPPUNIT_ASSERT(!cache.mayTrustKeys(kStart + milliseconds(3900)));
        CPPUNIT_ASSERT(!cache.mayTrustKeys(kStart + seconds(5)));
        cache.confirm(kStart + seconds(6));
        CPPUNIT_ASSERT(cache.mayTrustKeys(kStart + seconds(7)));
    }

    void trustsKeysIndefinitelyWhenFailOpen()
    {
        ConfigCache cache(KeyTrustPolicy{false, seconds(5)});
        cache.adopt(makeConfig(1), kStart);
        CPPUNIT_ASSERT(cache.mayTrustKeys(kStart + seconds(500)));
    }

    // Guards against a delayed confirmation that moves the confirmation time back.
    void ignoresOlderConfirmation()
    {
        ConfigCache cache(KeyTrustPolicy{true, seconds(5)});
        cache.confirm(kStart + seconds(2));
        cache.confirm(kStart);
        CPPUNIT_ASSERT(*cache.age(kStart + seconds(3)) == seconds(1));
    }

    // Guards against a revoked key that stays trusted because the store lost its revocation.
    void olderVersionInTheStoreConfirmsNothing()
    {
        ConfigCache cache(KeyTrustPolicy{true, seconds(5)});
        RoutingConfig config;
        config.version = 11;
        cache.adopt(config, kStart);
        cache.confirm(kStart);
        config.version = 4;
        CPPUNIT_ASSERT(!cache.adopt(config, kStart + seconds(1)));
        CPPUNIT_ASSERT(cache.isStoreBehind());
        cache.confirm(kStart + seconds(4));
        CPPUNIT_ASSERT(!cache.mayTrustKeys(kStart + seconds(4)));
        config.version = 11;
        cache.adopt(config, kStart + seconds(5));
        cache.confirm(kStart + seconds(5));
        CPPUNIT_ASSERT(cache.mayTrustKeys(kStart + seconds(6)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigCacheTest);

} // namespace hawthornslip
