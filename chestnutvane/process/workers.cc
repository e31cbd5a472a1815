#include "chestnutvane/process/workers.h"

#include <asio.hpp>
#include <thread>
#include <vector>

namespace chestnutvane {

struct Workers::Impl
{
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work{context.get_executor()};
    std::vector<std::thread> threads;

    void schedule(Duration delay, std::function<void()> task)
    {
        auto timer = std::make_shared<asio::steady_timer>(context, delay);
        timer->async_wait([timer, task = std::move(task)](const asio::error_code &failure) {
            if (!failure)
                task();
        });
    }

    void repeat(Duration period, const std::shared_ptr<std::function<void()>> &task)
    {
        schedule(period, [this, period, task] {
            (*task)();
            repeat(period, task);
        });
    }
};

Workers::Workers(int threads) : impl_(std::make_unique<Impl>())
{
    for (int i = 0; i < threads; ++i)
        impl_->threads.emplace_back([impl = impl_.get()] { impl->context.run(); });
}

Workers::~Workers()
{
    stop();
}

void Workers::post(std::function<void()> task)
{
    asio::post(impl_->context, std::move(task));
}

void Workers::after(Duration delay, std::function<void()> task)
{
    impl_->schedule(delay, std::move(task));
}

void Workers::every(Duration period, std::function<void()> task)
{
    impl_->repeat(period, std::make_shared<std::function<void()>>(std::move(task)));
}

void Workers::stop()
{
    impl_->context.stop();
    for (auto &thread : impl_->threads)
        thread.join();
    impl_->threads.clear();
}

} // namespace chestnutvane
