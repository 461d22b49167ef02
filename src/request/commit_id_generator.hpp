// Generates commit ids that are unique across all processes.
#pragma once

#include <cstdint>
#include <string>

#include "core/core.hpp"

namespace hemlockdeal
{

class commit_id_generator
{
public:
    // `component` distinguishes the committing libraries of one process.
    commit_id_generator(const vm_id& vm, incarnation process,
                        const std::string& component)
        : prefix_(vm.value() + "/" + std::to_string(process.value()) + "/" +
                  component + "/")
    {}

    commit_id next() { return commit_id(prefix_ + std::to_string(++last_)); }

private:
    std::string prefix_;
    std::uint64_t last_ = 0;
};

} // namespace hemlockdeal
