// Command line of one verb: the options that all verbs share.
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

// A mistake on the command line or in a file; ends with exit code 2.
class usage_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

class verb_line
{
public:
    // `help` is printed by --help. Options of the verb itself are added to
    // line() before parse().
    verb_line(const std::string& verb, const std::string& help);

    verb_line(const verb_line&) = delete;
    verb_line& operator=(const verb_line&) = delete;

    TCLAP::CmdLine& line() { return line_; }

    // Throws TCLAP::ArgException, or TCLAP::ExitException after --help.
    void parse(const std::vector<std::string>& arguments);

    bool json() const { return json_.getValue(); }

    // Throws usage_error when no daemon or no token is named.
    operator_client client();

private:
    std::string verb_;
    TCLAP::CmdLine line_;
    // Made here and not by the command line, which would also add --version
    // and so take the name from the option of 'wait'.
    TCLAP::StdOutput output_;
    TCLAP::CmdLineOutput* output_in_use_ = &output_;
    TCLAP::HelpVisitor help_visitor_;
    TCLAP::SwitchArg help_;
    TCLAP::SwitchArg json_;
    TCLAP::ValueArg<double> timeout_;
    TCLAP::ValueArg<std::string> token_file_;
    TCLAP::MultiArg<std::string> daemons_;
};

// Throws usage_error when the value is outside the bounds.
std::int64_t checked(const TCLAP::ValueArg<std::int64_t>& argument,
                     std::int64_t low, std::int64_t high);

// Throws usage_error when the text cannot be an id.
std::string checked_id(const std::string& what, const std::string& text);

} // namespace hemlockdeal
