import type { JSONSchemaType } from 'ajv';
import { hostListSchema } from '../shell/hosts/index.js';
import { fieldSchemas } from '../shell/settings/index.js';
import { statsdSchema } from '../shell/metric/index.js';
import { storeSchema } from '../shell/store/index.js';
import { peerSchema } from '../shell/tls/index.js';
import { tableSchema } from './tablesettings/index.js';
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
    upstream: fieldSchemas.name,
    service: fieldSchemas.name,
    hostId: fieldSchemas.name,
    region: fieldSchemas.name,
    availabilityZone: fieldSchemas.name,
    listen: fieldSchemas.address,
    upstreamUrl: fieldSchemas.url,
    upstreamType: { type: 'string', enum: ['engine', 'plain'], default: 'engine' },
    logLevel: fieldSchemas.logLevel,
    drainTimeoutMs: fieldSchemas.drainTimeoutMs,
    cacheHandOverBytes: { type: 'integer', minimum: 0, default: 67_108_864 } as never,
    slots: { type: 'integer', minimum: 1, default: 16 },
    statsd: statsdSchema as never,
    hostList: hostListSchema as never,
    store: storeSchema as never,
    peerTls: peerSchema as never,
    tickets: tableSchema as never,
  },
};
