#pragma once

namespace hawthornslip::matrix {

/** Prints calls to the store, batch sizes and latencies of claims and leases, in virtual time. */
void measureStoreUse();

} // namespace hawthornslip::matrix
