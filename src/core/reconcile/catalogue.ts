/** The models and adapters of the service's document, by id. */
export interface Catalogue {
  readonly models: ReadonlyMap<string, { readonly version: string; readonly sizeBytes: number }>;
  readonly adapters: ReadonlyMap<string, { readonly model: string; readonly sizeBytes: number }>;
}
