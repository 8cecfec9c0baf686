#pragma once

#include "azureshore/core/ids.hpp"
#include "azureshore/core/random.hpp"

#include <unordered_map>
#include <vector>

namespace azureshore::membership::detail {

// A set of VMs from which a random element is picked in constant time.
class random_set {
public:
    void add(const vm_id& name)
    {
        if (this->indices.emplace(name, this->names.size()).second) {
            this->names.push_back(name);
        }
    }

    void remove(const vm_id& name)
    {
        const auto found = this->indices.find(name);
        if (found == this->indices.end()) {
            return;
        }
        const auto index = found->second;
        this->indices.erase(found);
        if (index + 1 != this->names.size()) {
            this->names[index] = std::move(this->names.back());
            this->indices[this->names[index]] = index;
        }
        this->names.pop_back();
    }

    // Returns a random element. The set must not be empty.
    [[nodiscard]] const vm_id& pick(const random_source& random) const
    {
        return this->names[uniform_index(random, this->names.size())];
    }

    // Returns all elements in no particular order.
    [[nodiscard]] const std::vector<vm_id>& all() const { return this->names; }

    [[nodiscard]] std::size_t size() const { return this->names.size(); }
    [[nodiscard]] bool empty() const { return this->names.empty(); }

private:
    std::vector<vm_id> names;
    std::unordered_map<vm_id, std::size_t> indices;
};

} // namespace azureshore::membership::detail
