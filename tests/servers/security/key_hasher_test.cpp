#include "servers/security/key_hasher.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

class KeyHasherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeyHasherTest);
    CPPUNIT_TEST(hashIsBlake2b);
    CPPUNIT_TEST(onlyEqualHashesMatch);
    CPPUNIT_TEST(bearerSchemeIsRequired);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a hash that other tools cannot reproduce (BLAKE2b-256 of the empty string).
    void hashIsBlake2b()
    {
        CPPUNIT_ASSERT_EQUAL(std::string("0e5751c026e543b2e8ab2eb06099daa1"
                                         "d1e5df47778f7787faab45cdf12fe3a8"),
                             KeyHasher::hash(""));
    }

    // Guards against a hash that is accepted because only a part of it matches.
    void onlyEqualHashesMatch()
    {
        const auto hash = KeyHasher::hash("key");
        CPPUNIT_ASSERT(KeyHasher::matchesAny(hash, {KeyHasher::hash("other"), hash}));
        CPPUNIT_ASSERT(!KeyHasher::matchesAny(hash, {KeyHasher::hash("other"), hash.substr(1)}));
        CPPUNIT_ASSERT(!KeyHasher::matchesAny(hash, {}));
    }

    // Guards against credentials of another scheme that are accepted as a bearer key.
    void bearerSchemeIsRequired()
    {
        CPPUNIT_ASSERT(KeyHasher::bearerKey("Bearer abc") == "abc");
        CPPUNIT_ASSERT(KeyHasher::bearerKey("bearer abc") == "abc");
        CPPUNIT_ASSERT(KeyHasher::bearerKey("Basic abc").empty());
        CPPUNIT_ASSERT(KeyHasher::bearerKey("Bearer ").empty());
        CPPUNIT_ASSERT(KeyHasher::newRequestId() != KeyHasher::newRequestId());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyHasherTest);

} // namespace hawthornslip
