import type { ChannelOptions } from '@grpc/grpc-js';

const MEBIBYTE = 1_048_576;

/** Options of the gRPC hop, at both of its ends. */
export const channelOptions: ChannelOptions = {
  // A peer that is frozen or cut off is noticed within their sum.
  'grpc.keepalive_time_ms': 5000,
  'grpc.keepalive_timeout_ms': 2000,
  'grpc.keepalive_permit_without_calls': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1000,
  'grpc.max_receive_message_length': 64 * MEBIBYTE,
  'grpc.max_send_message_length': 64 * MEBIBYTE,
  'grpc-node.flow_control_window': MEBIBYTE,
  'grpc.enable_retries': 0,
};
