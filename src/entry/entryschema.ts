import type { JSONSchemaType } from 'ajv';
import { hostListSchema } from '../shell/hosts/index.js';
import { fieldSchemas } from '../shell/settings/index.js';
import { statsdSchema } from '../shell/metric/index.js';
import { storeSchema } from '../shell/store/index.js';
import { keySchema, peerSchema } from '../shell/tls/index.js';
import { defaultLimits } from './defaultlimits.js';
import type { EntrySettings } from './entrysettings.js';

const MAX_PORT = 65_535;
const DEFAULT_BODY_BYTES = 1_048_576;

/** Schema of each limit, by name, with its default. */
const limits = Object.fromEntries(
  Object.entries(defaultLimits).map(([name, value]) => [
    name,
    { type: 'integer', minimum: 1, default: value },
  ]),
);

/** Schema of an entry's settings file. */
export const entrySchema: JSONSchemaType<EntrySettings> = {
  type: 'object',
  additionalProperties: false,
  required: ['hostId', 'region', 'availabilityZone', 'listen'],
  properties: {
    hostId: fieldSchemas.name,
    region: fieldSchemas.name,
    availabilityZone: fieldSchemas.name,
    listen: {
      type: 'object',
      additionalProperties: false,
      required: ['host', 'port'],
      properties: {
        host: fieldSchemas.ip,
        port: { type: 'integer', minimum: 0, maximum: MAX_PORT },
      },
    },
    meshListen: { ...fieldSchemas.address, nullable: true },
    hostList: hostListSchema as never,
    documents: { type: 'array', items: { type: 'string' }, nullable: true },
    logLevel: fieldSchemas.logLevel,
    drainTimeoutMs: fieldSchemas.drainTimeoutMs,
    bodyBytes: { type: 'integer', minimum: 1024, default: DEFAULT_BODY_BYTES },
    store: storeSchema as never,
    tls: keySchema as never,
    peerTls: peerSchema as never,
    statsd: statsdSchema as never,
    keyWritesPerSecond: { type: 'number', exclusiveMinimum: 0, nullable: true },
    limits: {
      type: 'object',
      additionalProperties: false,
      properties: limits,
      default: {},
    } as never,
  },
};
