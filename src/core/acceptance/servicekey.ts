import type { ServiceId } from '../../base/index.js';

const PREFIX = '/tarragonstile/services/';

/** Where a service's document is. */
interface Place {
  readonly region: string;
  readonly service: ServiceId;
}

/**
 * Keys of the store that hold a service's document and its audit entries:
 * `/tarragonstile/services/{region}/{service}`, so that a region's relays can watch their own only.
 * Neither name can hold a slash (schema/service.schema.json).
 */
export const serviceKey = {
  /** Prefix of the keys of all regions. */
  all: PREFIX,

  /** Prefix of a region's keys. */
  under(region: string): string {
    return `${PREFIX}${region}/`;
  },

  of({ region, service }: Place): string {
    return `${serviceKey.under(region)}${service}`;
  },

  /** Region and service of a key; undefined for a key of another form. */
  read(key: string): Place | undefined {
    const [region, service, ...rest] = key.slice(PREFIX.length).split('/');
    if (!key.startsWith(PREFIX) || !region || !service || rest.length > 0) return undefined;
    return { region, service: service as ServiceId };
  },
};
