import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import test from 'ava';
import {
  checkDocument,
  readDocument,
  type Adapter,
  type Customer,
  type DocumentFailure,
  type Group,
  type Kind,
  type Model,
  type Route,
  type ServiceDocument,
  type Upstream,
} from '../src/core/document/index.js';

const EXAMPLES = join(import.meta.dirname, '..', '..', 'examples');
const REDACTOR = readFileSync(join(EXAMPLES, 'reenvio-norte', 'redactor.jsonc'), 'utf8');
const PADRON = readFileSync(join(EXAMPLES, 'reenvio-norte', 'padron.jsonc'), 'utf8');

type Fields<Item> = Readonly<Record<keyof Item, true>>;

const SCHEMA = JSON.parse(
  readFileSync(join(EXAMPLES, '..', 'schema', 'service.schema.json'), 'utf8'),
) as { properties: object; definitions: Record<string, { properties: object }> };

/** All fields of the types. The compiler finds a field missing here, the test one missing in the schema. */
const FIELDS: {
  readonly document: Fields<Required<ServiceDocument>>;
  readonly customer: Fields<Required<Customer>>;
  readonly kind: Fields<Required<Kind>>;
  readonly model: Fields<Required<Model>>;
  readonly adapter: Fields<Required<Adapter>>;
  readonly group: Fields<Required<Group>>;
  readonly upstream: Fields<Required<Upstream>>;
  readonly route: Fields<Required<Route>>;
} = {
  document: {
    $schema: true,
    schemaVersion: true,
    service: true,
    owner: true,
    region: true,
    customers: true,
    kinds: true,
    models: true,
    adapters: true,
    groups: true,
    weightStore: true,
    placement: true,
    limits: true,
  },
  customer: { id: true, keyHashes: true, share: true, inFlightLimit: true },
  kind: {
    name: true,
    priority: true,
    deadlineMs: true,
    weight: true,
    repeatable: true,
    longJob: true,
  },
  model: {
    id: true,
    version: true,
    sizeBytes: true,
    defaultKind: true,
    kvCacheBytesPerToken: true,
  },
  adapter: { id: true, model: true, sizeBytes: true },
  group: {
    name: true,
    availabilityZone: true,
    type: true,
    checksFencing: true,
    accelerators: true,
    memoryBytes: true,
    kvCacheReserveBytes: true,
    slots: true,
    role: true,
    upstreams: true,
    routes: true,
  },
  upstream: { id: true, sidecarAddress: true },
  route: { method: true, pathPrefix: true, kind: true },
};

test('the published schema has exactly the fields of the types', (t) => {
  const { document, ...definitions } = FIELDS;
  t.deepEqual(Object.keys(SCHEMA.properties).sort(), Object.keys(document).sort());
  for (const [name, fields] of Object.entries(definitions)) {
    const published = SCHEMA.definitions[name]?.properties ?? {};
    t.deepEqual(Object.keys(published).sort(), Object.keys(fields).sort(), name);
  }
});

const FILES = [
  'reenvio-norte/redactor',
  'reenvio-norte/padron',
  'agentia/asistent-contabil',
  'agentia/registru-central',
  'trial/padron',
];

for (const name of FILES) {
  test(`the example ${name} passes every check`, (t) => {
    const text = readFileSync(join(EXAMPLES, `${name}.jsonc`), 'utf8');
    t.deepEqual(checkDocument(text, { file: name }).val, readDocument(text).val);
    t.true(readDocument(text).ok);
  });
}

/** An invalid edit of a document, and the failure that it must produce. */
interface Edit {
  readonly of: string;
  readonly from: string | RegExp;
  readonly to: string;
  readonly type: DocumentFailure['type'];
  readonly field: string;
  /** Text on the line that the failure must point at. */
  readonly at: string;
  readonly says?: RegExp;
}

const EDITS: Readonly<Record<string, Edit>> = {
  'a missing comma': {
    of: REDACTOR,
    from: '"region": "cantabrico",',
    to: '"region": "cantabrico"',
    type: 'document-syntax',
    field: '',
    at: '"customers"',
  },
  'an unknown field': {
    of: REDACTOR,
    from: '"movePenalty"',
    to: '"movePenalti"',
    type: 'document-unknown-field',
    field: 'placement.movePenalti',
    at: 'movePenalti',
    says: /did you mean movePenalty\?/,
  },
  'a field with another unit': {
    of: REDACTOR,
    from: '"deadlineMs": 3000',
    to: '"deadlineSeconds": 3',
    type: 'document-wrong-unit',
    field: 'kinds.1.deadlineSeconds',
    at: 'deadlineSeconds',
    says: /did you mean deadlineMs\? \(a number of milliseconds\)/,
  },
  'a value with its unit in the text': {
    of: REDACTOR,
    from: '"deadlineMs": 3000',
    to: '"deadlineMs": "3s"',
    type: 'document-invalid',
    field: 'kinds.1.deadlineMs',
    at: '3s',
    says: /must be integer \(a number of milliseconds\)/,
  },
  'a repeated field': {
    of: REDACTOR,
    from: '"movePenalty": 2,',
    to: '"movePenalty": 2, "movePenalty": 3,',
    type: 'document-duplicate',
    field: 'movePenalty',
    at: 'movePenalty',
  },
  'a kind that is not defined': {
    of: PADRON,
    from: /"kind": "charge"/,
    to: '"kind": "chargo"',
    type: 'document-dangling-name',
    field: 'groups.0.routes.1.kind',
    at: 'chargo',
    says: /did you mean charge\?/,
  },
  'an adapter of an undefined model': {
    of: REDACTOR,
    from: '"model": "aviso-concellos-gallego"',
    to: '"model": "aviso-nadie"',
    type: 'document-dangling-name',
    field: 'adapters.0.model',
    at: 'aviso-nadie',
  },
  'a repeated upstream': {
    of: REDACTOR,
    from: '"id": "redactor-2"',
    to: '"id": "redactor-1"',
    type: 'document-duplicate',
    field: 'groups.0.upstreams.1.id',
    at: 'redactor-1',
  },
  'a route with two kinds': {
    of: PADRON,
    from: /"kind": "charge"/,
    to: '"kind": "lookup"',
    type: 'document-duplicate',
    field: 'groups.1.routes.1.kind',
    at: 'charge',
  },
  'a model that no upstream can hold': {
    of: REDACTOR,
    from: '"sizeBytes": 9000000000',
    to: '"sizeBytes": 90000000000',
    type: 'document-model-unplaceable',
    field: 'models.0.sizeBytes',
    at: '90000000000',
  },
  'models that do not fit with one upstream down': {
    of: REDACTOR,
    from: /"kvCacheReserveBytes": 28000000000/g,
    to: '"kvCacheReserveBytes": 53000000000',
    type: 'document-models-do-not-fit',
    field: 'models',
    at: '"models"',
  },
  'a KV-cache reserve as large as the memory': {
    of: REDACTOR,
    from: '"kvCacheReserveBytes": 28000000000',
    to: '"kvCacheReserveBytes": 96000000000',
    type: 'document-invalid',
    field: 'groups.0.kvCacheReserveBytes',
    at: '96000000000,',
  },
  'a plain group without routes': {
    of: REDACTOR,
    from: '"type": "engine"',
    to: '"type": "plain"',
    type: 'document-invalid',
    field: 'groups.0',
    at: '{',
    says: /routes/,
  },
};

for (const [name, edit] of Object.entries(EDITS)) {
  test(`${name} is refused with its position in the text`, (t) => {
    const text = edit.of.replace(edit.from, edit.to);
    t.not(text, edit.of);
    const checked = checkDocument(text, { file: 'f.jsonc' });
    const failures = checked.err ? checked.val : [];
    const failure = failures.find(({ type, field }) => type === edit.type && field === edit.field);
    t.truthy(failure, JSON.stringify(failures));
    t.true(text.split('\n')[(failure?.line ?? 0) - 1]?.includes(edit.at), failure?.detail);
    if (edit.says) t.regex(failure?.detail ?? '', edit.says);
    t.true(failure?.detail.startsWith(`f.jsonc:${failure.line}:${failure.column}: `));
  });
}

const redactor = () => readDocument(REDACTOR).unwrap();

function types(document: ServiceDocument, context: object): readonly string[] {
  const checked = checkDocument(JSON.stringify(document), { file: 'f.jsonc', ...context });
  return checked.err ? checked.val.map(({ type }) => type) : [];
}

test('all failures are reported together', (t) => {
  const { placement, ...rest } = redactor();
  const kinds = rest.kinds.map((kind) => ({ ...kind, urgency: 1 }));
  t.is(types({ ...rest, kinds } as never, {}).length, rest.kinds.length + 1);
  t.truthy(placement);
});

test('a change of a service that another team owns is refused', (t) => {
  const previous = redactor();
  t.deepEqual(types({ ...previous, owner: 'agentia' }, { previous }), ['document-other-owner']);
  t.deepEqual(types(previous, { previous, team: 'agentia' }), ['document-other-owner']);
  t.deepEqual(types(previous, { previous, team: 'reenvio-norte' }), []);
});

test('removing upstreams is refused as soon as the models no longer fit', (t) => {
  const previous = redactor();
  const without = (count: number) => ({ ...previous, groups: previous.groups.slice(count) });
  t.deepEqual(types(without(1), { previous }), ['document-shrinks-too-far']);
  const fewer = previous.groups.map((group) => ({
    ...group,
    upstreams: group.upstreams.slice(1),
  }));
  t.deepEqual(types({ ...previous, groups: fewer }, { previous }), []);
  t.deepEqual(types(without(1), {}), ['document-models-do-not-fit']);
  t.true(types(without(3), { previous }).every((type) => type === 'document-model-unplaceable'));
});
