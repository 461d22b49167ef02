// The body of a POST that Qt must not send twice.
#pragma once

#include <QByteArray>
#include <QIODevice>

namespace hemlockdeal
{

// QNetworkAccessManager resends a request on its own when the connection
// breaks before the answer. A resent commit would meet its own first attempt
// and report a conflict that is none, so the body refuses to be read again.
class one_shot_body : public QIODevice
{
public:
    explicit one_shot_body(QByteArray content);

    bool isSequential() const override { return true; }
    qint64 bytesAvailable() const override;
    // True while nothing was read, when a new attempt is safe.
    bool reset() override { return read_ == 0; }

    // True when bytes may have left the process.
    bool started() const { return read_ > 0; }

protected:
    qint64 readData(char* data, qint64 max_size) override;
    qint64 writeData(const char* data, qint64 size) override;

private:
    QByteArray content_;
    qint64 read_ = 0;
};

} // namespace hemlockdeal
