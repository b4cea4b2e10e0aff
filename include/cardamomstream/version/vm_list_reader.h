/// Reads and writes the platform's list of VMs and upstreams.
///
/// The list is one JSON object:
///
///     {"vms": {"riga-a": {"region": "riga", "data_centre": "riga-1", "entry": "10.0.0.1:7101",
///                         "peer": "10.0.0.1:7201", "state": "live"}},
///      "upstreams": {"riga-w1": {"pool": "drafting", "region": "riga", "data_centre": "riga-1",
///                                "address": "10.0.1.1:8000", "state": "leaving", "slots": 8,
///                                "checks_fencing": true}}}
#pragma once

#include "cardamomstream/core/error.h"
#include "cardamomstream/version/vm_list_types.h"

#include <string>
#include <string_view>

namespace cardamomstream {

/// Reads one version of the list, whole or not at all. Keys that it does not know are passed over, since the
/// platform may add some. `slots` and `checks_fencing` may be absent.
/// Errors: `platform_unavailable`, which names the entry and the field.
result<vm_list> read_vm_list(std::string_view json, version_number version);

/// Writes the list so that `read_vm_list` reads it back; equal lists give equal bytes.
std::string write_vm_list(const vm_list& list);

} // namespace cardamomstream
