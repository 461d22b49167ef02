// Body of a POST request that Qt must not send twice.
#pragma once

#include <QByteArray>
#include <QIODevice>

namespace hemlockdeal
{

// QNetworkAccessManager resends a request on its own when the connection breaks
// before the response. A resent commit would conflict with its own first
// attempt and report a false conflict, so the body cannot be read a second
// time.
class one_shot_body : public QIODevice
{
public:
    explicit one_shot_body(QByteArray content);

    bool isSequential() const override { return true; }
    qint64 bytesAvailable() const override;
    // Succeeds only while nothing has been read, when a new attempt is safe.
    bool reset() override { return read_ == 0; }

    // True when bytes may have been sent.
    bool started() const { return read_ > 0; }

protected:
    qint64 readData(char* data, qint64 max_size) override;
    qint64 writeData(const char* data, qint64 size) override;

private:
    QByteArray content_;
    qint64 read_ = 0;
};

} // namespace hemlockdeal
