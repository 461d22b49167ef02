// Runs the operators' HTTP server in its own thread.
#include "operators/operator_server.hpp"

#include <utility>

#include <QThread>

#include "operators/http_handler.hpp"

namespace hemlockdeal
{

class operator_server::implementation
{
public:
    implementation(operator_server_options options,
                   operator_callbacks callbacks)
        : options_(std::move(options)), callbacks_(std::move(callbacks))
    {}

    ~implementation() { stop(); }

    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    result<socket_address> start()
    {
        if (handler_)
        {
            return error{error_code::conflict, "the server runs already"};
        }
        handler_ = std::make_unique<http_handler>(options_, callbacks_);
        thread_.setObjectName("operator");
        handler_->moveToThread(&thread_);
        thread_.start();
        result<socket_address> bound = error{};
        run_in_thread([&] { bound = handler_->listen(); });
        if (!is_ok(bound))
        {
            stop();
        }
        return bound;
    }

    void stop()
    {
        if (!handler_)
        {
            return;
        }
        run_in_thread([this] { handler_->close(); });
        thread_.quit();
        thread_.wait();
        handler_.reset();
    }

private:
    // Qt requires that sockets and timers are created and destroyed in the
    // thread they belong to.
    template <typename Function>
    void run_in_thread(Function function)
    {
        QMetaObject::invokeMethod(handler_.get(), function,
                                  Qt::BlockingQueuedConnection);
    }

    operator_server_options options_;
    operator_callbacks callbacks_;
    QThread thread_;
    std::unique_ptr<http_handler> handler_;
};

operator_server::operator_server(operator_server_options options,
                                 operator_callbacks callbacks)
    : implementation_(std::make_unique<implementation>(std::move(options),
                                                       std::move(callbacks)))
{}

operator_server::~operator_server() = default;

result<socket_address> operator_server::start()
{
    return implementation_->start();
}

void operator_server::stop()
{
    implementation_->stop();
}

} // namespace hemlockdeal
