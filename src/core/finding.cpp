// Text form of findings.
#include "core/finding.hpp"

namespace hemlockdeal
{

std::string to_text(const finding& f)
{
    if (f.place.line == 0)
    {
        return f.place.file + ": " + f.message;
    }
    return f.place.file + ':' + std::to_string(f.place.line) + ':' +
           std::to_string(f.place.column) + ": " + f.message;
}

} // namespace hemlockdeal
