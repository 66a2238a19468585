#include "servers/request_path/request_context.h"

#include "servers/request_path/request_run.h"

namespace hawthornslip {

RequestContext::RequestContext() = default;
RequestContext::~RequestContext() = default;

} // namespace hawthornslip
