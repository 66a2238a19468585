#include "core/reasons.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

class ReasonsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReasonsTest);
    CPPUNIT_TEST(tableMatchesEnumeration);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a misplaced table row: reasonInfo() indexes by enum value and would return the
    // name and status of another reason.
    void tableMatchesEnumeration()
    {
        for (std::size_t i = 0; i < kReasons.size(); ++i)
            CPPUNIT_ASSERT_EQUAL(i, static_cast<std::size_t>(kReasons[i].reason));
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(Reason::Internal) + 1, kReasons.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReasonsTest);

} // namespace hawthornslip
