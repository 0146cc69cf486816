/// @file
/// Runs Boost.Fiber on a Boost.Asio I/O context, one of each per thread.
#pragma once

#include <boost/asio/io_context.hpp>

namespace baobab {

/// Makes the fibers of this thread share it with an I/O context: while no
/// fiber is ready, the thread runs the context's handlers.
/// @param aContext must outlive the thread's fibers
void UseFiberScheduler(boost::asio::io_context& aContext);

}
