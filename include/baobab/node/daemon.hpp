/// @file
/// The whole daemon: ingress on its workers, admission and control beside.
#pragma once

#include "baobab/core/result.hpp"
#include "baobab/net/config_source.hpp"
#include "baobab/net/store.hpp"
#include "baobab/node/settings_reloader.hpp"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace baobab {

/// How a daemon reaches its platform.
struct Platform
{
  std::function<std::unique_ptr<Store>(boost::asio::io_context&,
                                       const Endpoint&)>
    openStore;
  std::function<std::unique_ptr<ConfigSource>(boost::asio::io_context&,
                                              const Endpoint&)>
    openConfig;
};

/// The product's own object store and publishing.
Platform DefaultPlatform();

/// Runs a daemon until SIGTERM or SIGINT, then drains it. Fails with System
/// if an address cannot be used.
/// @param aReader reads the settings again, on SIGHUP and when they change
Result<Done> RunDaemon(const LoadedSettings& aSettings,
                       const Platform& aPlatform,
                       SettingsReader aReader);

}
