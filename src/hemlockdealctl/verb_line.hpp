// Command line of a verb, with the options common to all verbs.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>
#include <tclap/HelpVisitor.h>
#include <tclap/StdOutput.h>

#include "hemlockdealctl/operator_client.hpp"

namespace hemlockdeal
{

// An error on the command line or in a file; gives exit code 2.
class usage_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

class verb_line
{
public:
    // `help` is the description printed by --help. Options specific to the verb
    // must be added to line() before parse() is called.
    verb_line(const std::string& verb, const std::string& help);

    verb_line(const verb_line&) = delete;
    verb_line& operator=(const verb_line&) = delete;

    TCLAP::CmdLine& line() { return line_; }

    // Throws TCLAP::ArgException on invalid arguments and TCLAP::ExitException
    // after --help.
    void parse(const std::vector<std::string>& arguments);

    bool json() const { return json_.getValue(); }

    // Throws usage_error if no daemon or no token is given, or if an address or
    // the time-out is invalid.
    operator_client client();

private:
    std::string verb_;
    TCLAP::CmdLine line_;
    // TCLAP's automatic help option is not used because it also adds --version,
    // which would collide with the option of the verb 'wait'.
    TCLAP::StdOutput output_;
    TCLAP::CmdLineOutput* output_pointer_ = &output_;
    TCLAP::HelpVisitor help_visitor_;
    TCLAP::SwitchArg help_;
    TCLAP::SwitchArg json_;
    TCLAP::ValueArg<double> timeout_;
    TCLAP::ValueArg<std::string> token_file_;
    TCLAP::MultiArg<std::string> daemons_;
};

// Returns the value; throws usage_error if it is out of range.
std::int64_t checked_value(const TCLAP::ValueArg<std::int64_t>& argument,
                           std::int64_t low, std::int64_t high);

// Returns the text; throws usage_error if it is not a valid id.
std::string checked_id(const std::string& what, const std::string& text);

} // namespace hemlockdeal
