#pragma once

#include "azureshore/core/address.hpp"
#include "processes/child_process.hpp"
#include "processes/test_folder.hpp"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace azureshore::testing {

// One entry VM's daemon and where it listens.
struct entry_vm {
    std::string name;
    child_process process;
    address callers;
    address peers;
    address admin;
};

// One backend server's stand-in and where it listens.
struct backend_vm {
    std::string name;
    std::string service;
    std::string data_centre;
    child_process process;
    address where;
};

struct path_plan {
    std::vector<std::string> data_centres{"khan-el-khalili", "shubra", "maadi"};
    std::size_t entry_vms = 3;
    // Backend servers of each service, spread over the data centres in turn.
    std::map<std::string, std::size_t> services{{"catalogue", 6}};
    // The configuration tree in TOML.
    std::string tree;
};

// The whole path as processes on ports that the kernel chose: the platform's stand-ins, backend
// servers and entry VMs, all listed, configured and ready.
class whole_path {
public:
    explicit whole_path(const path_plan& plan);
    ~whole_path();
    whole_path(const whole_path&) = delete;
    whole_path& operator=(const whole_path&) = delete;
    whole_path(whole_path&&) = delete;
    whole_path& operator=(whole_path&&) = delete;

    address log;
    address vm_list;
    std::deque<entry_vm> entries;
    std::deque<backend_vm> backends;

    // Starts one more entry VM and lists it.
    entry_vm& start_entry(const std::string& name, const std::string& data_centre);

    // Starts one more backend server and lists it.
    backend_vm& start_backend(const std::string& name, const std::string& service,
                              const std::string& data_centre,
                              const std::vector<std::string>& options = {});

    // Changes an entry of the list of VMs.
    void list(const std::string& name, const std::string& data_centre, const std::string& service,
              const address& where, const std::string& state = "live") const;

    // The daemons' admin addresses, joined by commas.
    [[nodiscard]] std::string admin_addresses() const;

    // Runs azureshorectl.
    [[nodiscard]] finished_run control(std::vector<std::string> arguments) const;

    // Waits until every entry VM is ready.
    void wait_ready() const;

private:
    // Puts the first tree on the log.
    void publish(const std::string& text) const;

    std::unique_ptr<child_process> log_process;
    std::unique_ptr<child_process> list_process;
    test_folder folder;
};

} // namespace azureshore::testing
