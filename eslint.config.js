// Airbnb's rules, with the project's own lines before them: see docs/STYLE.md.
import { configs, extensions, plugins } from 'eslint-config-airbnb-extended';
import tseslint from 'typescript-eslint';

/** Folders from low to high: each may import from itself and from those before it. */
const LAYERS = [
  'src/base',
  'src/wire',
  'src/port',
  'src/core',
  'src/shell',
  'src/direct',
  'src/entry',
  'src/sidecar',
  'src/command',
];

/** Daemons do not import each other; everything else follows the order of LAYERS. */
const EXTRA_ZONES = [
  { target: './src/sidecar', from: './src/entry', message: 'Daemons do not import each other.' },
  { target: './src/entry', from: './src/direct', message: 'Daemons do not import each other.' },
  { target: './src/sidecar', from: './src/direct', message: 'Daemons do not import each other.' },
  {
    target: './src',
    from: ['./standin', './bench', './demo', './test'],
    message: 'Shipped code stands alone.',
  },
  { target: './standin', from: ['./bench', './demo', './test'], message: 'Stand-ins stand alone.' },
  {
    target: ['./src', './standin', './bench', './demo'],
    from: './platform',
    message: 'Only tests know the platform: its names stay in platform/.',
  },
];

const zones = LAYERS.map((layer, index) => ({
  target: `./${layer}`,
  from: LAYERS.slice(index + 1).map((higher) => `./${higher}`),
  message: 'Dependencies go one way: see docs/design/architecture.md.',
})).filter((zone) => zone.from.length > 0);

const ONE_EXPORT = [
  {
    selector: 'Program > ExportNamedDeclaration ~ ExportNamedDeclaration',
    message: 'One export a file.',
  },
  {
    selector: 'Program > ExportNamedDeclaration[declaration=null]',
    message: 'Re-export in index.ts only.',
  },
];

const NO_BARE_ERRORS = {
  selector: 'ThrowStatement > NewExpression[callee.name="Error"]',
  message: 'Every failure has a type: return a typed failure or throw a class of src/base.',
};

export default tseslint.config(
  {
    ignores: [
      'dist',
      'target',
      'journal',
      'coverage',
      'src/wire/gen',
      'docs/reports',
      'node_modules',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...extensions.base.typescript,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    files: ['**/*.ts', '**/*.js'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      // The house's control flow is `for of` with early exits.
      'no-restricted-syntax': ['error', NO_BARE_ERRORS],
      'no-continue': 'off',
      // A class may implement an interface with a method that needs no state.
      'class-methods-use-this': 'off',
      'no-void': ['error', { allowAsStatement: true }],
      'n/no-sync': 'off',
      'no-await-in-loop': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-cycle': ['error', { ignoreExternal: true }],
      'import-x/no-restricted-paths': [
        'error',
        { basePath: import.meta.dirname, zones: [...zones, ...EXTRA_ZONES] },
      ],
      'n/no-unsupported-features/node-builtins': 'off',
      // Prettier owns the layout.
      ...Object.fromEntries(
        Object.keys(plugins.stylistic.plugins['@stylistic'].rules).map((rule) => [
          `@stylistic/${rule}`,
          'off',
        ]),
      ),
    },
  },
  {
    files: ['src/**/*.ts', 'platform/**/*.ts'],
    ignores: ['src/**/index.ts', 'src/command/**'],
    rules: { 'no-restricted-syntax': ['error', NO_BARE_ERRORS, ...ONE_EXPORT] },
  },
  {
    files: ['src/core/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              group: ['node:*', 'undici', 'h3', '@grpc/*', 'winston', 'hot-shots'],
              message: 'Cores are pure.',
            },
          ],
        },
      ],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: 'Cores are given the time.' },
        { object: 'Math', property: 'random', message: 'Cores are given a seed.' },
      ],
    },
  },
  {
    files: [
      'test/**/*.ts',
      'bench/**/*.ts',
      'demo/**/*.ts',
      'standin/**/*.ts',
      'src/command/**/*.ts',
      'platform/**/*.ts',
      'scripts/**/*.js',
    ],
    rules: { 'no-console': 'off', 'n/no-process-exit': 'off' },
  },
  { files: ['**/*.js'], ...tseslint.configs.disableTypeChecked },
  {
    files: ['**/*.ts'],
    rules: { '@typescript-eslint/no-floating-promises': 'error' },
  },
);
