// Occupies all free file descriptors of the test's process.
#pragma once

#include <algorithm>
#include <vector>

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace hemlockdeal
{

class descriptor_hog
{
public:
    descriptor_hog()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        rlimit lowered = before_;
        lowered.rlim_cur = std::min<rlim_t>(before_.rlim_cur, 512);
        setrlimit(RLIMIT_NOFILE, &lowered);
        for (int d = open("/dev/null", O_RDONLY | O_CLOEXEC); d >= 0;
             d = open("/dev/null", O_RDONLY | O_CLOEXEC))
        {
            descriptors_.push_back(d);
        }
    }

    descriptor_hog(const descriptor_hog&) = delete;
    descriptor_hog& operator=(const descriptor_hog&) = delete;

    ~descriptor_hog()
    {
        std::ranges::for_each(descriptors_, [](int d) { close(d); });
        setrlimit(RLIMIT_NOFILE, &before_);
    }

private:
    rlimit before_{};
    std::vector<int> descriptors_;
};

} // namespace hemlockdeal
