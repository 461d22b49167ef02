// Counts lines of the log.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "observe/logging.hpp"

namespace hemlockdeal::adapter::test
{

// Counts the lines that contain a text in what was logged.
class log_capture
{
public:
    log_capture()
    {
        set_up_buffered_logging(log_level::debug);
        testing::internal::CaptureStdout();
    }
    std::map<std::string, std::size_t>
    count(const std::vector<std::string>& texts)
    {
        flush_log();
        const auto output = testing::internal::GetCapturedStdout();
        std::map<std::string, std::size_t> out;
        for (const auto& text : texts)
        {
            for (auto at = output.find(text); at != std::string::npos;
                 at = output.find(text, at + 1))
            {
                ++out[text];
            }
        }
        return out;
    }
};

} // namespace hemlockdeal::adapter::test
