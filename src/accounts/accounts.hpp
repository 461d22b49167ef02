// Public header of the accounts library: the client accounts of a configuration
// with their keys, weights and caps.
#pragma once

#include "accounts/account_directory.hpp"
#include "accounts/account_policy.hpp"
#include "accounts/api_key.hpp"
