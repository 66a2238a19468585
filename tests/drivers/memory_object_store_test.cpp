#include "drivers/object_store/memory_object_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace hawthornslip {

class MemoryObjectStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemoryObjectStoreTest);
    CPPUNIT_TEST(onlyMatchingVersionWrites);
    CPPUNIT_TEST(watchSeesWrite);
    CPPUNIT_TEST(watchEndsAtItsTimeout);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two writers that both replace the same version.
    void onlyMatchingVersionWrites()
    {
        const auto created = put("a", 0);
        CPPUNIT_ASSERT(created.ok());
        CPPUNIT_ASSERT(put("b", 0).error == StoreError::Conflict);
        const auto replaced = put("c", created.object.version);
        CPPUNIT_ASSERT(replaced.ok());
        CPPUNIT_ASSERT(put("d", created.object.version).error == StoreError::Conflict);
        const auto read = wait([&](auto done) { m_store.get("k", done); });
        CPPUNIT_ASSERT_EQUAL(std::string("c"), read.object.value);
        CPPUNIT_ASSERT_EQUAL(replaced.object.version, read.object.version);
    }

    // Guards against a node that never hears of a new configuration.
    void watchSeesWrite()
    {
        std::promise<StoreResult> seen;
        m_store.watch("k", 0, seconds(60), [&](const StoreResult &it) { seen.set_value(it); });
        put("a", 0);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), seen.get_future().get().object.value);
    }

    // Guards against a watch that is never answered.
    void watchEndsAtItsTimeout()
    {
        const auto version = put("a", 0).object.version;
        const auto quiet =
                wait([&](auto done) { m_store.watch("k", version, milliseconds(1), done); });
        CPPUNIT_ASSERT_EQUAL(version, quiet.object.version);
        const auto missing =
                wait([&](auto done) { m_store.watch("none", 0, milliseconds(1), done); });
        CPPUNIT_ASSERT(missing.error == StoreError::NotFound);
    }

private:
    template <typename Start>
    StoreResult wait(Start start)
    {
        std::promise<StoreResult> answer;
        start([&](const StoreResult &it) { answer.set_value(it); });
        return answer.get_future().get();
    }

    StoreResult put(const std::string &value, std::uint64_t version)
    {
        return wait([&](auto done) { m_store.put("k", value, version, done); });
    }

    MemoryObjectStore m_store;
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemoryObjectStoreTest);

} // namespace hawthornslip
