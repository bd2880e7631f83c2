import type { Check } from './check.js';
import type { Finding } from './finding.js';

/** One definition of a name that must be unique. */
interface Definition {
  readonly name: string;
  readonly pointer: string;
}

function repeated(label: string, definitions: readonly Definition[]): readonly Finding[] {
  const seen = new Set<string>();
  const findings: Finding[] = [];
  for (const { name, pointer } of definitions) {
    if (seen.has(name)) {
      findings.push({
        type: 'document-duplicate',
        pointer,
        detail: `${label} ${name} is repeated`,
      });
    }
    seen.add(name);
  }
  return findings;
}

function definitionsOf<Item>(
  items: readonly Item[],
  at: string,
  nameOf: (item: Item) => string,
): Definition[] {
  return items.map((item, index) => ({
    name: nameOf(item),
    pointer: at.replace('*', `${index}`),
  }));
}

/** Finds repeated names. */
export const checkNames: Check = ({ customers, kinds, models, adapters, groups }) => {
  const upstreams = groups.flatMap((group, index) =>
    definitionsOf(group.upstreams, `/groups/${index}/upstreams/*/id`, ({ id }) => id),
  );
  const addresses = groups.flatMap((group, index) =>
    definitionsOf(
      group.upstreams,
      `/groups/${index}/upstreams/*/sidecarAddress`,
      ({ sidecarAddress }) => sidecarAddress,
    ),
  );
  const keys = customers.flatMap(({ keyHashes }, index) =>
    definitionsOf(keyHashes, `/customers/${index}/keyHashes/*`, (hash) => hash),
  );
  const routes = groups.map(({ routes: list = [] }, index) =>
    definitionsOf(
      list,
      `/groups/${index}/routes/*/pathPrefix`,
      ({ method, pathPrefix }) => `${method} ${pathPrefix}`,
    ),
  );
  // Callers name an adapter instead of a model, so models and adapters share one namespace.
  const offered = [
    ...definitionsOf(models, '/models/*/id', ({ id }) => id),
    ...definitionsOf(adapters, '/adapters/*/id', ({ id }) => id),
  ];
  return [
    ...repeated(
      'customer',
      definitionsOf(customers, '/customers/*/id', ({ id }) => id),
    ),
    ...repeated('key', keys),
    ...repeated(
      'kind',
      definitionsOf(kinds, '/kinds/*/name', ({ name }) => name),
    ),
    ...repeated('model or adapter', offered),
    ...repeated(
      'group',
      definitionsOf(groups, '/groups/*/name', ({ name }) => name),
    ),
    ...repeated('upstream', upstreams),
    ...repeated('address', addresses),
    ...routes.flatMap((definitions) => repeated('route', definitions)),
  ];
};
