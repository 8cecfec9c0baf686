#pragma once

#include <string>
#include <vector>

namespace azureshore::standin {

// Sends one HTTP request, for scripts: METHOD HOST:PORT/PATH [BODY]. Prints status and body;
// the exit status is 0 for a 2xx answer, 1 for another or none, 2 for wrong use.
int run_request(const std::vector<std::string>& arguments);

} // namespace azureshore::standin
