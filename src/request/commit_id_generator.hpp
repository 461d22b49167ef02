// Generates ids of commits that are unique over all processes.
#pragma once

#include <cstdint>
#include <string>

#include "core/core.hpp"

namespace hemlockdeal
{

class commit_id_generator
{
public:
    // `part` tells apart the libraries of one process that commit.
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
