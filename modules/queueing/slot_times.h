#pragma once

#include "core/time.h"

#include <string>
#include <unordered_map>

namespace hawthornslip {

/** How long the requests of each route occupy a slot of an engine. */
class SlotTimes
{
public:
    /** Records a whole answer. @param time from sending the request to its end. */
    void observe(const std::string &route, Duration time);

    /** @return the expected time; zero before the first answer. */
    Duration expected(const std::string &route) const;

private:
    /** Moving averages in seconds. */
    std::unordered_map<std::string, double> m_times;
};

} // namespace hawthornslip
