// Estimate of one quantile of a stream in a few bytes.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace hemlockdeal
{

// Moves by a step that shrinks with the number of samples. The step has a
// lower limit, so the estimate follows changes of the stream.
class online_quantile
{
public:
    explicit online_quantile(float share) : share_(share) {}

    void add(float sample)
    {
        if (count_ == 0)
        {
            value_ = sample;
        }
        else
        {
            const float step = std::max(
                smallest_step,
                first_step / std::pow(static_cast<float>(count_), 0.6F));
            value_ += sample > value_ ? step * share_ : step * (share_ - 1.0F);
        }
        count_ += count_ < UINT32_MAX ? 1U : 0U;
    }

    float value() const { return value_; }
    std::uint32_t count() const { return count_; }

private:
    // In units of the samples, which are natural logarithms.
    static constexpr float first_step = 2.0F;
    static constexpr float smallest_step = 0.1F;

    float share_;
    float value_ = 0.0F;
    std::uint32_t count_ = 0;
};

} // namespace hemlockdeal
