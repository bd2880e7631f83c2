import { suggest } from '../../text/index.js';
import type { Check } from './check.js';
import type { Finding } from './finding.js';

/** One reference to a name that must be defined elsewhere in the document. */
interface Reference {
  readonly name: string;
  readonly pointer: string;
}

function dangling(
  label: string,
  references: readonly Reference[],
  defined: readonly string[],
): readonly Finding[] {
  const names = new Set(defined);
  return references
    .filter(({ name }) => !names.has(name))
    .map(({ name, pointer }) => {
      const meant = suggest(name, defined);
      const hint = meant ? `; did you mean ${meant.field}?` : '';
      const detail = `there is no ${label} ${name}${hint}`;
      return { type: 'document-dangling-name', pointer, detail };
    });
}

/** Finds references to kinds and models that the document does not define. */
export const checkReferences: Check = ({ kinds, models, adapters, groups }) => {
  const routeKinds = groups.flatMap(({ routes = [] }, group) =>
    routes.map(({ kind }, index) => ({
      name: kind,
      pointer: `/groups/${group}/routes/${index}/kind`,
    })),
  );
  const modelKinds = models.map(({ defaultKind }, index) => ({
    name: defaultKind,
    pointer: `/models/${index}/defaultKind`,
  }));
  const bases = adapters.map(({ model }, index) => ({
    name: model,
    pointer: `/adapters/${index}/model`,
  }));
  return [
    ...dangling(
      'kind',
      [...modelKinds, ...routeKinds],
      kinds.map(({ name }) => name),
    ),
    ...dangling(
      'model',
      bases,
      models.map(({ id }) => id),
    ),
  ];
};
