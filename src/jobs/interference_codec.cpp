// Stored form of the learnt interference.
#include <cmath>

#include <boost/json.hpp>

#include "jobs/interference_model.hpp"
#include "jobs/json_value.hpp"

namespace hemlockdeal::jobs
{

namespace
{

namespace json = boost::json;

std::string to_key(image_hash image)
{
    return std::to_string(static_cast<std::uint64_t>(image));
}

image_hash from_key(std::string_view name)
{
    return image_hash(std::strtoull(std::string(name).c_str(), nullptr, 10));
}

// Two decimals are precise enough and keep the stored form short.
double to_two_decimals(double value)
{
    return std::round(value * 100.0) / 100.0;
}

} // namespace

std::string interference_model::encode(std::size_t max_bytes) const
{
    // Weak pressures are omitted first, since they change little.
    constexpr double initial_floor = 0.02;
    constexpr double max_floor = 100.0;
    auto text = encode_above(0.0);
    for (double floor = initial_floor;
         text.size() > max_bytes && floor < max_floor; floor *= 2.0)
    {
        text = encode_above(floor);
    }
    return text.size() > max_bytes ? std::string("{}") : text;
}

std::string interference_model::encode_above(double floor) const
{
    json::object out;
    for (const auto& [serving, tail] : low_tails_)
    {
        json::object pressures;
        if (const auto fit = fits_.find(serving); fit != fits_.end())
        {
            for (const auto& [fill, pressure] : fit->second.pressures())
            {
                if (pressure >= floor)
                {
                    pressures[to_key(fill)] = to_two_decimals(pressure);
                }
            }
        }
        out[to_key(serving)] =
            json::object{{"t", tail.value()}, {"p", std::move(pressures)}};
    }
    return json::serialize(out);
}

void interference_model::restore(std::string_view text)
{
    json::error_code error;
    const auto parsed = json::parse({text.data(), text.size()}, error);
    if (error || !parsed.is_object())
    {
        return;
    }
    for (const auto& entry : parsed.get_object())
    {
        if (!entry.value().is_object())
        {
            continue;
        }
        const auto serving = from_key(entry.key());
        const auto& learnt = entry.value().get_object();
        low_tails_[serving].restore(real_in(learnt, "t"));
        const auto* const pressures = learnt.if_contains("p");
        if (pressures == nullptr || !pressures->is_object())
        {
            continue;
        }
        for (const auto& fill : pressures->get_object())
        {
            const auto pressure = fill.value().to_number<double>(error);
            if (!error)
            {
                fits_[serving].restore(from_key(fill.key()), pressure);
            }
        }
    }
}

} // namespace hemlockdeal::jobs
