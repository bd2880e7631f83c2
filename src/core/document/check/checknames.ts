import type { Check } from './check.js';
import type { Finding } from './finding.js';

/** One use of a name that has to be unique. */
interface Use {
  readonly name: string;
  readonly pointer: string;
}

function repeated(what: string, uses: readonly Use[]): readonly Finding[] {
  const seen = new Set<string>();
  const findings: Finding[] = [];
  for (const { name, pointer } of uses) {
    if (seen.has(name)) {
      findings.push({ type: 'document-duplicate', pointer, detail: `${what} ${name} is repeated` });
    }
    seen.add(name);
  }
  return findings;
}

function usesOf<Item>(items: readonly Item[], at: string, nameOf: (item: Item) => string): Use[] {
  return items.map((item, index) => ({ name: nameOf(item), pointer: at.replace('*', `${index}`) }));
}

/** Finds names that stand twice where each has to be unique. */
export const checkNames: Check = ({ customers, kinds, models, adapters, groups }) => {
  const upstreams = groups.flatMap((group, index) =>
    usesOf(group.upstreams, `/groups/${index}/upstreams/*/id`, ({ id }) => id),
  );
  const addresses = groups.flatMap((group, index) =>
    usesOf(
      group.upstreams,
      `/groups/${index}/upstreams/*/sidecarAddress`,
      ({ sidecarAddress }) => sidecarAddress,
    ),
  );
  const keys = customers.flatMap(({ keyHashes }, index) =>
    usesOf(keyHashes, `/customers/${index}/keyHashes/*`, (hash) => hash),
  );
  const routes = groups.map(({ routes: list = [] }, index) =>
    usesOf(
      list,
      `/groups/${index}/routes/*/pathPrefix`,
      ({ method, pathPrefix }) => `${method} ${pathPrefix}`,
    ),
  );
  // Callers name an adapter in place of a model, so the two share their names.
  const offered = [
    ...usesOf(models, '/models/*/id', ({ id }) => id),
    ...usesOf(adapters, '/adapters/*/id', ({ id }) => id),
  ];
  return [
    ...repeated(
      'customer',
      usesOf(customers, '/customers/*/id', ({ id }) => id),
    ),
    ...repeated('key', keys),
    ...repeated(
      'kind',
      usesOf(kinds, '/kinds/*/name', ({ name }) => name),
    ),
    ...repeated('model or adapter', offered),
    ...repeated(
      'group',
      usesOf(groups, '/groups/*/name', ({ name }) => name),
    ),
    ...repeated('upstream', upstreams),
    ...repeated('address', addresses),
    ...routes.flatMap((uses) => repeated('route', uses)),
  ];
};
