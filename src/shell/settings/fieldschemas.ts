const DEFAULT_DRAIN_MS = 30_000;

/** Schemas of the settings fields common to entries and sidecars. */
export const fieldSchemas = {
  name: { type: 'string', minLength: 1, description: 'a name' },
  address: {
    type: 'string',
    format: 'address',
    description: 'an IP number and port, for example 10.0.0.1:7000 or [fd00::1]:7000',
  },
  ip: { type: 'string', format: 'ip', description: 'an IP number, for example 10.0.0.1' },
  url: {
    type: 'string',
    format: 'url',
    description: 'an http or https URL, for example http://10.0.0.1:8000',
  },
  logLevel: { type: 'string', enum: ['error', 'warn', 'info', 'debug'], default: 'info' },
  drainTimeoutMs: { type: 'integer', minimum: 0, default: DEFAULT_DRAIN_MS },
} as const;
