/// @file
/// Integrates Boost.Fiber with a Boost.Asio I/O context, one per thread.
#pragma once

#include <boost/asio/io_context.hpp>

namespace baobab {

/// Installs a fiber scheduler on the current thread that runs the handlers of
/// an I/O context while no fiber is ready.
/// @param aContext must outlive the fibers of the thread
void UseFiberScheduler(boost::asio::io_context& aContext);

}
