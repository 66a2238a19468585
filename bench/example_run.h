#pragma once

#include "bench/bench_run.h"

#include <string>

namespace hawthornslip::bench {

/**
 * Sends the load of an example to its running nodes and compares the answers with the run records
 * of its running stand-ins.
 *
 * @param folder folder with shared.json and load.json.
 * @throws std::runtime_error when the files cannot be read or a stand-in does not answer.
 */
BenchResult runExample(const std::string &folder);

} // namespace hawthornslip::bench
