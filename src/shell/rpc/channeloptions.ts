import type { ChannelOptions } from '@grpc/grpc-js';

const MEBIBYTE = 1_048_576;

/** Options common to both ends of the gRPC hop. */
const common: ChannelOptions = {
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.max_receive_message_length': 64 * MEBIBYTE,
  'grpc.max_send_message_length': 64 * MEBIBYTE,
  'grpc-node.flow_control_window': MEBIBYTE,
  'grpc.enable_retries': 0,
};

/**
 * gRPC channel options of client and server. A client detects a frozen or disconnected server within the sum of its two
 * keepalive times. A dead client costs a server less, so a server pings less often: the pings of an entry with a
 * thousand sidecars have to fit into a few kilobytes per second.
 */
export const channelOptions = {
  client: {
    ...common,
    'grpc.keepalive_time_ms': 6000,
    'grpc.keepalive_timeout_ms': 2000,
    'grpc.keepalive_permit_without_calls': 0,
  },
  server: {
    ...common,
    'grpc.keepalive_time_ms': 60_000,
    'grpc.keepalive_timeout_ms': 20_000,
  },
} as const;
