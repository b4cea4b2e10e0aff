#include "transport_security.h"

#include <vector>

#include <grpcpp/security/tls_certificate_provider.h>
#include <grpcpp/security/tls_certificate_verifier.h>
#include <grpcpp/security/tls_credentials_options.h>

namespace cardamomstream {

bool uses_tls(const peer_identity& self)
{
    return self.certificate_pem && self.key_pem && self.authority_pem;
}

std::shared_ptr<grpc::ChannelCredentials> client_security(const peer_identity& self)
{
    if (!uses_tls(self)) {
        return grpc::InsecureChannelCredentials();
    }
    namespace tls = grpc::experimental;
    const std::vector<tls::IdentityKeyCertPair> identity{{*self.key_pem, *self.certificate_pem}};
    tls::TlsChannelCredentialsOptions options;
    options.set_certificate_provider(
        std::make_shared<tls::StaticDataCertificateProvider>(*self.authority_pem, identity));
    options.watch_root_certs();
    options.watch_identity_key_cert_pairs();
    options.set_verify_server_certs(true);
    options.set_check_call_host(false);
    options.set_certificate_verifier(std::make_shared<tls::NoOpCertificateVerifier>());
    return tls::TlsCredentials(options);
}

std::shared_ptr<grpc::ServerCredentials> server_security(const peer_identity& self)
{
    if (!uses_tls(self)) {
        return grpc::InsecureServerCredentials();
    }
    grpc::SslServerCredentialsOptions options(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    options.pem_root_certs = *self.authority_pem;
    options.pem_key_cert_pairs.push_back({*self.key_pem, *self.certificate_pem});
    return grpc::SslServerCredentials(options);
}

} // namespace cardamomstream
