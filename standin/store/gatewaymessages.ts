/** Request bodies of the etcd v3 JSON gateway, limited to the fields that the stand-in reads. */
export interface GatewayMessages {
  readonly range: { readonly key: string; readonly range_end?: string };
  readonly txn: {
    readonly compare: readonly { readonly key: string; readonly mod_revision?: string }[];
    readonly success: readonly {
      readonly request_put?: {
        readonly key: string;
        readonly value?: string;
        readonly lease?: string;
      };
      readonly request_delete_range?: { readonly key: string };
    }[];
  };
  readonly grant: { readonly TTL: string };
  readonly lease: { readonly ID: string };
  readonly watch: {
    readonly create_request: {
      readonly key: string;
      readonly range_end?: string;
      readonly start_revision?: string;
    };
  };
}
