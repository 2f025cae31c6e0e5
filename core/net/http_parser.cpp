#include "core/net/http_parser.h"

#include "core/net/http_status.h"
#include <algorithm>
#include <cctype>
#include <http_parser.h>

namespace Onyxnotch {

namespace {

    constexpr std::string_view headEnd = "\r\n\r\n";

    bool isTokenCharacter(char character)
    {
        auto it = static_cast<unsigned char>(character);
        return std::isalnum(it) || std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
    }

    bool isValueCharacter(char character)
    {
        auto it = static_cast<unsigned char>(character);
        return it == '\t' || (it >= 0x20 && it != 0x7f);
    }

    bool isFieldLine(std::string_view line)
    {
        auto colon = line.find(':');
        if (colon == 0 || colon == std::string_view::npos)
            return false;
        auto name = line.substr(0, colon);
        auto value = line.substr(colon + 1);
        return std::all_of(name.begin(), name.end(), isTokenCharacter) && std::all_of(value.begin(), value.end(), isValueCharacter);
    }

    bool isDigit(char character) { return character >= '0' && character <= '9'; }

    // Accepts exactly two single spaces, so that all implementations split the line alike.
    bool isRequestLine(std::string_view line) { return std::count(line.begin(), line.end(), ' ') == 2 && line.find("  ") == std::string_view::npos; }

    // Accepts version, status and reason phrase (RFC 9112, section 4). The status must have three digits, because the library reads any
    // number of them. The space before an empty reason phrase may be missing.
    bool isStatusLine(std::string_view line)
    {
        constexpr std::string_view beforeStatus = "HTTP/1.x ";
        constexpr std::size_t statusDigits = 3;
        if (line.size() < beforeStatus.size() + statusDigits || line[beforeStatus.size() - 1] != ' ')
            return false;
        auto digits = line.substr(beforeStatus.size(), statusDigits);
        auto reason = line.substr(beforeStatus.size() + statusDigits);
        if (!std::all_of(digits.begin(), digits.end(), isDigit) || (!reason.empty() && reason.front() != ' '))
            return false;
        return HttpStatus::isStatusCode(std::stoi(std::string(digits)));
    }

    // Accepts only printable characters. The library checks the version, and the method and target of a request.
    bool isStartLine(std::string_view line, HttpMessageKind kind)
    {
        bool printable = std::all_of(line.begin(), line.end(), isValueCharacter) && line.find('\t') == std::string_view::npos;
        return printable && (kind == HttpMessageKind::Request ? isRequestLine(line) : isStatusLine(line));
    }

    // Requires CR LF line ends, no folded lines, and only permitted characters in names and values.
    bool isStrictHead(std::string_view head, HttpMessageKind kind)
    {
        bool first = true;
        while (!head.empty()) {
            auto end = head.find("\r\n");
            auto line = head.substr(0, end);
            if (line.empty())
                return !first;
            if (first ? !isStartLine(line, kind) : !isFieldLine(line))
                return false;
            first = false;
            head.remove_prefix(end + 2);
        }
        return true;
    }

    void trim(std::string& text)
    {
        auto end = text.find_last_not_of(" \t");
        text.erase(end == std::string::npos ? 0 : end + 1);
        text.erase(0, std::min(text.find_first_not_of(" \t"), text.size()));
    }

    std::optional<std::uint64_t> parseLength(const std::string& text)
    {
        constexpr std::size_t maximumDigits = 15; // More than any body size limit needs, and cannot overflow.
        if (text.empty() || text.size() > maximumDigits || !std::all_of(text.begin(), text.end(), isDigit))
            return std::nullopt;
        return std::stoull(text);
    }

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

std::string_view reasonPhrase(int status) { return http_status_str(static_cast<http_status>(status)); }

const std::string* HttpHead::find(std::string_view name) const
{
    auto it = std::find_if(fields.begin(), fields.end(), [&](const auto& field) { return equalsIgnoringCase(field.name, name); });
    return it == fields.end() ? nullptr : &it->value;
}

std::string_view HttpHead::value(std::string_view name) const
{
    const auto* found = find(name);
    return found ? std::string_view(*found) : std::string_view();
}

struct HttpParser::Callbacks {
    explicit Callbacks(HttpParser& parser)
    {
        http_parser_init(&library, parser.m_kind == HttpMessageKind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        library.data = &parser;
        http_parser_settings_init(&settings);
        settings.on_url = onUrl;
        settings.on_header_field = onField;
        settings.on_header_value = onValue;
        settings.on_headers_complete = onHeadersComplete;
        settings.on_body = onBody;
        settings.on_message_complete = onMessageComplete;
    }

    static HttpParser& self(http_parser* library) { return *static_cast<HttpParser*>(library->data); }

    static int onUrl(http_parser* library, const char* at, std::size_t size)
    {
        self(library).m_head.target.append(at, size);
        return 0;
    }

    static int onField(http_parser* library, const char* at, std::size_t size)
    {
        auto& parser = self(library);
        // Trailer fields of a chunked body are dropped: they apply to one connection only and are not forwarded.
        if (parser.m_state != HttpParserState::Head)
            return 0;
        if (parser.m_head.fields.empty() || parser.m_callbacks->inValue)
            parser.m_head.fields.emplace_back();
        parser.m_callbacks->inValue = false;
        parser.m_head.fields.back().name.append(at, size);
        return 0;
    }

    static int onValue(http_parser* library, const char* at, std::size_t size)
    {
        auto& parser = self(library);
        if (parser.m_state != HttpParserState::Head)
            return 0;
        parser.m_callbacks->inValue = true;
        parser.m_head.fields.back().value.append(at, size);
        return 0;
    }

    static int onHeadersComplete(http_parser* library)
    {
        auto& parser = self(library);
        parser.m_state = HttpParserState::Body;
        bool isBodiless = parser.m_kind == HttpMessageKind::Response && HttpStatus::allowsNoBody(static_cast<int>(library->status_code));
        return parser.m_noBody || isBodiless ? 1 : 0;
    }

    static int onBody(http_parser* library, const char* at, std::size_t size)
    {
        self(library).m_body.append(at, size);
        return 0;
    }

    static int onMessageComplete(http_parser* library)
    {
        self(library).m_messageComplete = true;
        // Stop here: bytes after the end of the message are left to the caller.
        http_parser_pause(library, 1);
        return 0;
    }

    http_parser library {};
    http_parser_settings settings {};
    bool inValue { false };
};

HttpParser::HttpParser(HttpMessageKind kind, std::size_t maximumHeadBytes)
    : m_kind(kind)
    , m_maximumHeadBytes(maximumHeadBytes)
    , m_callbacks(std::make_unique<Callbacks>(*this))
{
}

HttpParser::~HttpParser() = default;

void HttpParser::reset()
{
    m_state = HttpParserState::Head;
    m_head = {};
    m_headBytes = 0;
    m_body.clear();
    m_noBody = false;
    m_messageComplete = false;
    *m_callbacks = Callbacks(*this);
}

bool HttpParser::endsWithConnection() const
{
    if (m_noBody || m_kind == HttpMessageKind::Request)
        return false;
    return !HttpStatus::allowsNoBody(m_head.status) && !m_head.chunked && !m_head.contentLength;
}

// Parses the head and the fields that delimit the body. Contradictory or repeated ones make the message malformed. Returns true if the
// head is complete and valid.
bool HttpParser::parseHead(std::string& input)
{
    auto end = input.find(headEnd);
    if (end == std::string::npos || end + headEnd.size() > m_maximumHeadBytes) {
        if (input.size() >= m_maximumHeadBytes)
            m_state = HttpParserState::HeadTooLarge;
        return false;
    }
    auto size = end + headEnd.size();
    if (!isStrictHead(std::string_view(input).substr(0, size), m_kind)) {
        m_state = HttpParserState::Malformed;
        return false;
    }
    auto parsed = http_parser_execute(&m_callbacks->library, &m_callbacks->settings, input.data(), size);
    auto error = HTTP_PARSER_ERRNO(&m_callbacks->library);
    if ((error != HPE_OK && error != HPE_PAUSED) || parsed < size || m_state != HttpParserState::Body) {
        m_state = HttpParserState::Malformed;
        return false;
    }
    input.erase(0, size);
    m_headBytes = size;
    m_head.method = m_kind == HttpMessageKind::Request ? http_method_str(static_cast<http_method>(m_callbacks->library.method)) : "";
    m_head.status = m_kind == HttpMessageKind::Response ? static_cast<int>(m_callbacks->library.status_code) : 0;
    m_head.keepAlive = http_should_keep_alive(&m_callbacks->library) != 0;
    unsigned contentLengthCount = 0;
    unsigned transferEncodingCount = 0;
    bool isValid = m_callbacks->library.http_major == 1;
    for (auto& it : m_head.fields) {
        trim(it.value);
        if (equalsIgnoringCase(it.name, "content-length")) {
            ++contentLengthCount;
            m_head.contentLength = parseLength(it.value);
            isValid = isValid && m_head.contentLength.has_value();
        } else if (equalsIgnoringCase(it.name, "transfer-encoding")) {
            ++transferEncodingCount;
            m_head.chunked = equalsIgnoringCase(it.value, "chunked");
            isValid = isValid && m_head.chunked;
        }
    }
    if (!isValid || contentLengthCount + transferEncodingCount > 1) {
        m_state = HttpParserState::Malformed;
        return false;
    }
    return true;
}

HttpParserState HttpParser::feed(std::string& input)
{
    if (m_state == HttpParserState::Head && !parseHead(input))
        return m_state;
    if (m_state != HttpParserState::Body)
        return m_state;
    if (!m_messageComplete && !input.empty()) {
        auto parsed = http_parser_execute(&m_callbacks->library, &m_callbacks->settings, input.data(), input.size());
        auto error = HTTP_PARSER_ERRNO(&m_callbacks->library);
        if (error != HPE_OK && error != HPE_PAUSED) {
            m_state = HttpParserState::Malformed;
            return m_state;
        }
        input.erase(0, parsed);
    }
    if (m_messageComplete)
        m_state = HttpParserState::Complete;
    return m_state;
}

HttpParserState HttpParser::finish()
{
    if (m_state == HttpParserState::Body && endsWithConnection())
        m_state = HttpParserState::Complete;
    return m_state;
}

} // namespace Onyxnotch
