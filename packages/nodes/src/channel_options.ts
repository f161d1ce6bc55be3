/** gRPC options of the connections between nodes. */
import type {ChannelOptions} from '@grpc/grpc-js';

const KEEPALIVE_TIME_MS = 2_000;
const KEEPALIVE_TIMEOUT_MS = 2_000;
const MAX_RECONNECT_BACKOFF_MS = 2_000;
const INITIAL_RECONNECT_BACKOFF_MS = 100;
const MAX_MESSAGE_BYTES = 16_777_216;

/** Options of client channels; retries are left to the callers. */
export const CHANNEL_OPTIONS: ChannelOptions = {
  'grpc.keepalive_time_ms': KEEPALIVE_TIME_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  'grpc.initial_reconnect_backoff_ms': INITIAL_RECONNECT_BACKOFF_MS,
  'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_BACKOFF_MS,
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
};

/** Options of gRPC servers. */
export const SERVER_OPTIONS: ChannelOptions = {
  'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
};
