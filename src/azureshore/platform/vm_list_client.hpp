#pragma once

#include "azureshore/core/address.hpp"
#include "azureshore/core/time.hpp"
#include "azureshore/net/http_client.hpp"
#include "azureshore/platform/vm_list.hpp"

#include <absl/status/statusor.h>

#include <functional>
#include <string_view>
#include <vector>

namespace azureshore::platform {

using vm_list_result = absl::StatusOr<std::vector<vm_entry>>;

// Reads the JSON text of the platform's list; fails with failure::platform_refused.
vm_list_result parse_vm_list(std::string_view text);

// Fetches the list once; `done` is called on the HTTP client's thread.
void fetch_vm_list(net::http_client& http, const address& where, duration timeout,
                   std::function<void(vm_list_result)> done);

} // namespace azureshore::platform
