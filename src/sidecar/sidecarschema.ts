import type { JSONSchemaType } from 'ajv';
import { hostListSchema } from '../shell/hosts/index.js';
import { statsdSchema } from '../shell/metric/index.js';
import { storeSchema } from '../shell/store/index.js';
import { peerSchema } from '../shell/tls/index.js';
import type { SidecarSettings } from './sidecarsettings.js';

/** Schema of a sidecar's settings file. */
export const sidecarSchema: JSONSchemaType<SidecarSettings> = {
  type: 'object',
  additionalProperties: false,
  required: [
    'upstream',
    'service',
    'hostId',
    'region',
    'availabilityZone',
    'listen',
    'upstreamUrl',
  ],
  properties: {
    upstream: { type: 'string', minLength: 1 },
    service: { type: 'string', minLength: 1 },
    hostId: { type: 'string', minLength: 1 },
    region: { type: 'string', minLength: 1 },
    availabilityZone: { type: 'string', minLength: 1 },
    listen: { type: 'string', pattern: '^[0-9a-fA-F.:\\[\\]]+:\\d+$' },
    upstreamUrl: { type: 'string', pattern: '^https?://' },
    upstreamType: { type: 'string', enum: ['engine', 'plain'], default: 'engine' },
    logLevel: { type: 'string', enum: ['error', 'warn', 'info', 'debug'], default: 'info' },
    drainTimeoutMs: { type: 'integer', minimum: 0, default: 30000 },
    slots: { type: 'integer', minimum: 1, default: 16 },
    statsd: statsdSchema as never,
    hostList: hostListSchema as never,
    store: storeSchema as never,
    peerTls: peerSchema as never,
  },
};
