import type { ServiceId } from '../../base/index.js';

const PREFIX = '/tarragonstile/services/';

/** Region and service that identify a document. */
interface Place {
  readonly region: string;
  readonly service: ServiceId;
}

/**
 * Formats and parses the store keys of service documents with their audit entries:
 * `/tarragonstile/services/{region}/{service}`. The region comes first so that relays can watch the keys of
 * their own region only. Neither name can contain a slash (schema/service.schema.json).
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

  /** Parses a key; undefined if it has another form. */
  read(key: string): Place | undefined {
    const [region, service, ...rest] = key.slice(PREFIX.length).split('/');
    if (!key.startsWith(PREFIX) || !region || !service || rest.length > 0) return undefined;
    return { region, service: service as ServiceId };
  },
};
