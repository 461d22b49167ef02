// Body of a POST request that Qt must not send twice.
#include "platform/one_shot_body.hpp"

#include <algorithm>
#include <utility>

namespace hemlockdeal
{

one_shot_body::one_shot_body(QByteArray content) : content_(std::move(content))
{
    // Unbuffered, so that read_ counts exactly the bytes that Qt has read.
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

qint64 one_shot_body::bytesAvailable() const
{
    return content_.size() - read_ + QIODevice::bytesAvailable();
}

qint64 one_shot_body::readData(char* data, qint64 max_size)
{
    const auto remaining = content_.size() - read_;
    if (remaining == 0)
    {
        return -1;
    }
    const auto size = std::min<qint64>(remaining, max_size);
    std::copy_n(content_.constData() + read_, size, data);
    read_ += size;
    return size;
}

qint64 one_shot_body::writeData(const char* /*data*/, qint64 /*size*/)
{
    return -1;
}

} // namespace hemlockdeal
