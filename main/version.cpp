#include "main/version.h"

namespace hawthornslip {

std::string_view versionText()
{
    return "0.1.0";
}

} // namespace hawthornslip
